package peerlink

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// Gossip tells what one entry has found out about backend servers and others should
// know soon.
type Gossip struct {
	// Suspects are contents that have ended backend servers.
	Suspects wire.SuspectUpdate `msgpack:"u"`
	// Draining are starts of servers that have said that they leave.
	Draining []ServerKey `msgpack:"l,omitempty"`
	// Forward asks an agent to pass it on to entries, and an entry to pass what is news
	// to it on to the others of its region.
	Forward bool `msgpack:"s,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (n *Gossip) Empty() bool { return len(n.Suspects.Suspects) == 0 && len(n.Draining) == 0 }

// Datagrams encodes the news in datagrams of at most limit bytes.
func (n *Gossip) Datagrams(limit int) [][]byte {
	data, err := msgpack.Marshal(&Datagram{Gossip: n})
	if err != nil {
		panic(err)
	}
	suspects, leaving := n.Suspects.Suspects, n.Draining
	if len(data) <= limit || len(suspects)+len(leaving) < 2 {
		return [][]byte{data}
	}
	part := func(s []wire.Suspect, l []ServerKey) [][]byte {
		return (&Gossip{Suspects: wire.SuspectUpdate{Suspects: s}, Draining: l, Forward: n.Forward}).Datagrams(limit)
	}
	if len(suspects) > 0 && len(leaving) > 0 {
		return append(part(suspects, nil), part(nil, leaving)...)
	}
	return append(part(suspects[:len(suspects)/2], leaving[:len(leaving)/2]), part(suspects[len(suspects)/2:], leaving[len(leaving)/2:])...)
}
