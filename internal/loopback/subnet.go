// Package loopback hands out loopback addresses to tests whose servers listen on fixed
// ports or listen again after a restart.
package loopback

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
)

const (
	// maxSubnet is the second byte of the last loopback addresses.
	maxSubnet = 254
	// firstProcessSubnet is the second byte of the first addresses that NewIP returns.
	firstProcessSubnet = 150
)

var errNoSubnet = errors.New("no free subnet of loopback addresses")

// ReserveSubnet reserves the loopback addresses that begin with 127 and the returned
// number, which is first or the next free one. Other test processes may be using the same
// addresses. Closing the reservation frees them.
func ReserveSubnet(first int) (int, io.Closer, error) {
	for subnet := first; subnet <= maxSubnet; subnet++ {
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:9999", subnet)); err == nil {
			return subnet, ln, nil
		}
	}
	return 0, nil, errNoSubnet
}

// reservation is a subnet that is reserved while its listener is referenced: the garbage
// collector closes listeners.
type reservation struct {
	subnet   int
	listener io.Closer
}

// processSubnet returns a subnet that is reserved until the process ends.
var processSubnet = sync.OnceValues(func() (*reservation, error) {
	subnet, listener, err := ReserveSubnet(firstProcessSubnet)
	return &reservation{subnet: subnet, listener: listener}, err
})

var lastIP atomic.Int64

// NewIP returns a loopback address that no other caller gets, in this process or in
// another, for servers that listen on a fixed port or listen again after a restart. A
// port of 127.0.0.1 that was free a moment ago may be the local port of an outgoing
// connection by then, of any process.
func NewIP() (string, error) {
	reserved, err := processSubnet()
	if err != nil {
		return "", err
	}
	runtime.KeepAlive(reserved.listener)
	n := lastIP.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", reserved.subnet, n/250, n%250+1), nil
}
