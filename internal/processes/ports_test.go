package processes_test

import (
	"fmt"
	"net"
	"os"

	. "github.com/onsi/gomega"
)

// Ports are taken below the range of ephemeral ports (from 32768 on Linux), so that
// no outgoing connection takes a port between the probe and the start of the process
// that listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports allocates free loopback addresses.
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
	Expect("no free port found").To(BeEmpty())
	return ""
}
