package backing

import (
	"errors"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes is the maximum length of the names of an Instance.
const MaxNameBytes = 200

var (
	errID       = errors.New("id is not a name of 1 to 200 bytes")
	errRole     = errors.New("role is neither entry nor agent")
	errLocation = errors.New("location is incomplete or has names of over 200 bytes")
	errPool     = errors.New("pool is not a name of up to 200 bytes")
	errAddress  = errors.New("address is not an IP address of one host and a port")
)

// Validate reports why an item of the instance list does not describe an instance.
func (i *Instance) Validate() error {
	switch {
	case !validName(string(i.ID)):
		return errID
	case i.Role != RoleEntry && i.Role != RoleAgent:
		return errRole
	case !validName(string(i.Location.Region)) || !validName(string(i.Location.FailureDomain)):
		return errLocation
	case i.Pool != "" && !validName(i.Pool):
		return errPool
	case !validAddress(i.Address):
		return errAddress
	}
	return nil
}

func validName(s string) bool {
	return s != "" && len(s) <= MaxNameBytes && utf8.ValidString(s) && strings.IndexFunc(s, unicode.IsControl) < 0
}

// validAddress reports whether a connection can be opened to the address as it is. A
// host name would be looked up for each connection.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	ip := a.Addr()
	return err == nil && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}
