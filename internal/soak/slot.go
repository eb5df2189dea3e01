package soak

import (
	"errors"
	"net"
	"strconv"
)

// maxSlot is the last slot whose loopback addresses exist.
const maxSlot = 235

// slotLockPort is the port on which a run listens to reserve its slot.
const slotLockPort = 9999

var errNoSlot = errors.New("no free slot of loopback addresses")

// reserveSlot reserves the given slot or the next free one. Runs of other processes, as
// of tests, may use the same addresses.
func reserveSlot(slot int) (int, net.Listener, error) {
	for ; slot <= maxSlot; slot++ {
		if ln, err := net.Listen("tcp", net.JoinHostPort(ip(slot, groupLock, 0), strconv.Itoa(slotLockPort))); err == nil {
			return slot, ln, nil
		}
	}
	return 0, nil, errNoSlot
}
