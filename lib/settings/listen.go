package settings

import "net/netip"

// Listen holds the addresses that a process listens on, each an IP address and
// port. Port 0 selects a free port.
type Listen struct {
	// Callers is the HTTP listener for callers. It is empty for agents.
	Callers string
	// Operators is the listener for RPCs from operators. It is empty for agents.
	Operators string
	// Peers is the listener for connections from other entries and agents.
	Peers string
	// Advertise is the address that peers dial to reach the Peers listener. It
	// defaults to Peers and is required if Peers is a wildcard address.
	Advertise string
	// Metrics is the listener of the metrics text endpoint. If it is empty, the
	// endpoint is disabled.
	Metrics string
}

func (r *reader) listen(entry bool) Listen {
	var l Listen
	if entry {
		l.Callers = r.addrPort("listen", "callers", "")
		l.Operators = r.addrPort("listen", "operators", "")
	}
	l.Peers = r.addrPort("listen", "peers", "")
	l.Advertise = r.advertise(l.Peers)
	if l.Metrics = r.text("listen", "metrics", ""); l.Metrics != "" {
		if _, err := netip.ParseAddrPort(l.Metrics); err != nil {
			r.addViolation("listen", "metrics", "value is not an IP address and port", "an IP address and port such as 127.0.0.1:9464, or nothing")
		}
	}
	r.distinctListeners(l)
	return l
}

// advertise reads the advertised address and checks that peers can dial it.
func (r *reader) advertise(peers string) string {
	value := r.text("listen", "advertise", peers)
	addr, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		if r.isSet("listen", "advertise") {
			r.addViolation("listen", "advertise", "value is not an IP address and port", "an IP address and port such as 10.0.0.7:7400")
		}
	case addr.Addr().IsUnspecified():
		r.addViolation("listen", "advertise", "peers cannot dial a wildcard address", "the instance's own IP address and port when peers is a wildcard")
	}
	return value
}

// distinctListeners adds a violation for each listener whose address is already in
// use.
func (r *reader) distinctListeners(l Listen) {
	seen := map[string]string{}
	for _, listener := range []struct{ key, value string }{
		{"callers", l.Callers}, {"operators", l.Operators}, {"peers", l.Peers}, {"metrics", l.Metrics},
	} {
		addr, err := netip.ParseAddrPort(listener.value)
		if err != nil || addr.Port() == 0 {
			continue
		}
		if other, ok := seen[listener.value]; ok {
			r.addViolation("listen", listener.key, "address is already used by "+other, "a different address for each listener")
		}
		seen[listener.value] = listener.key
	}
}
