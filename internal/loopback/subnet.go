// Package loopback hands out loopback addresses to tests whose servers listen on fixed
// ports or listen again after a restart.
package loopback

import (
	"errors"
	"fmt"
	"io"
	"net"
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

// processReservation keeps the subnet of the process reserved until the process ends. A
// listener that is no longer referenced is closed by the garbage collector.
var processReservation io.Closer

var processSubnet = sync.OnceValues(func() (subnet int, err error) {
	subnet, processReservation, err = ReserveSubnet(firstProcessSubnet)
	return subnet, err
})

var lastIP atomic.Int64

// NewIP returns a loopback address that no other caller gets, in this process or in
// another, for servers that listen on a fixed port or listen again after a restart. A
// port of 127.0.0.1 that was free a moment ago may be the local port of an outgoing
// connection by then, of any process.
func NewIP() (string, error) {
	subnet, err := processSubnet()
	if err != nil {
		return "", err
	}
	n := lastIP.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", subnet, n/250, n%250+1), nil
}
