package settings

import "net/netip"

// Listen holds the addresses that a process listens on, each an IP address and
// port. Port 0 takes a free port.
type Listen struct {
	// Callers is the HTTP listener of entries; agents leave it empty.
	Callers string
	// Operators is the listener for remote procedure calls of entries.
	Operators string
	// Peers is the listener for the system's own processes.
	Peers string
	// Advertise is the address under which peers reach Peers. It is the same
	// as Peers unless that is a wildcard.
	Advertise string
	// Metrics is the listener of the metrics text endpoint; empty turns it off.
	Metrics string
}

func (r *reader) listen(entry bool) Listen {
	var l Listen
	if entry {
		l.Callers = r.endpoint("listen", "callers", "")
		l.Operators = r.endpoint("listen", "operators", "")
	}
	l.Peers = r.endpoint("listen", "peers", "")
	l.Advertise = r.advertise(l.Peers)
	if l.Metrics = r.text("listen", "metrics", ""); l.Metrics != "" {
		if _, err := netip.ParseAddrPort(l.Metrics); err != nil {
			r.fault("listen", "metrics", "value is not an IP address and port", "an IP address and port such as 127.0.0.1:9464, or nothing")
		}
	}
	r.distinctListeners(l)
	return l
}

// advertise requires an address that peers can dial.
func (r *reader) advertise(peers string) string {
	value := r.text("listen", "advertise", peers)
	at, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		if r.given("listen", "advertise") {
			r.fault("listen", "advertise", "value is not an IP address and port", "an IP address and port such as 10.0.0.7:7400")
		}
	case at.Addr().IsUnspecified():
		r.fault("listen", "advertise", "peers cannot dial a wildcard address", "the instance's own IP address and port when peers is a wildcard")
	}
	return value
}

// distinctListeners refuses two listeners on one address.
func (r *reader) distinctListeners(l Listen) {
	seen := map[string]string{}
	for _, x := range []struct{ key, value string }{
		{"callers", l.Callers}, {"operators", l.Operators}, {"peers", l.Peers}, {"metrics", l.Metrics},
	} {
		at, err := netip.ParseAddrPort(x.value)
		if err != nil || at.Port() == 0 {
			continue
		}
		if other, ok := seen[x.value]; ok {
			r.fault("listen", x.key, "address is already used by "+other, "a different address for each listener")
		}
		seen[x.value] = x.key
	}
}
