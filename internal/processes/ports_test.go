package processes_test

import (
	"fmt"
	"net"
	"os"

	. "github.com/onsi/gomega"
)

// Ports are taken below the range from which the system picks the local ports
// of outgoing connections (32768 on Linux), so that none is in use again
// between the probe and the start of its process.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports hands out free loopback addresses.
type ports struct{ next int }

func newPorts() *ports {
	return &ports{next: firstPort + os.Getpid()*97%(lastPort-firstPort)}
}

func (p *ports) take() string {
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		if p.next++; p.next > lastPort {
			p.next = firstPort
		}
		if l, err := net.Listen("tcp", address); err == nil {
			Expect(l.Close()).To(Succeed())
			return address
		}
	}
	Expect("a free port").To(BeEmpty())
	return ""
}
