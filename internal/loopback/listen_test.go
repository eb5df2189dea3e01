package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a wait without end for an address that another server uses.
func TestListenReportsAnAddressInUse(t *testing.T) {
	ip, err := NewIP()
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.Listen("tcp", net.JoinHostPort(ip, "9000"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	start := time.Now()
	_, err = Listen(other.Addr().String())
	if waited := time.Since(start); !errors.Is(err, syscall.EADDRINUSE) || waited < maxReleaseTime {
		t.Errorf("error %v after %v", err, waited)
	}
}
