package loopback

import (
	"net"
	"runtime"
	"strconv"
	"testing"
)

// Guards against a reservation that ends at the next garbage collection.
func TestReservationOfTheProcessLasts(t *testing.T) {
	ip, err := NewIP()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		runtime.GC()
	}
	second := net.ParseIP(ip).To4()[1]
	subnet, reservation, err := ReserveSubnet(int(second))
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Close()
	if subnet == int(second) {
		t.Error("subnet " + strconv.Itoa(subnet) + " is reserved twice")
	}
	other, err := NewIP()
	if err != nil || other == ip {
		t.Errorf("second address is %q (%v), the first %q", other, err, ip)
	}
}
