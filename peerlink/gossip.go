package peerlink

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// Gossip carries what one entry has observed about backend servers and others
// should learn soon.
type Gossip struct {
	// Suspects lists requests that were in flight when backend servers crashed.
	Suspects wire.SuspectUpdate `msgpack:"u"`
	// Draining lists servers that have announced that they are draining.
	Draining []ServerKey `msgpack:"l,omitempty"`
	// Forward asks an agent to forward the message to entries, and an entry to
	// forward what it didn't know yet to the other entries of its region.
	Forward bool `msgpack:"s,omitempty"`
}

// Empty reports whether there is nothing to send.
func (g *Gossip) Empty() bool { return len(g.Suspects.Suspects) == 0 && len(g.Draining) == 0 }

// Datagrams encodes the gossip in datagrams of at most limit bytes, splitting it
// as necessary. A single suspect or server is never split.
func (g *Gossip) Datagrams(limit int) [][]byte {
	data, err := msgpack.Marshal(&Datagram{Gossip: g})
	if err != nil {
		panic(err)
	}
	suspects, draining := g.Suspects.Suspects, g.Draining
	if len(data) <= limit || len(suspects)+len(draining) < 2 {
		return [][]byte{data}
	}
	encode := func(suspects []wire.Suspect, draining []ServerKey) [][]byte {
		return (&Gossip{Suspects: wire.SuspectUpdate{Suspects: suspects}, Draining: draining, Forward: g.Forward}).Datagrams(limit)
	}
	if len(suspects) > 0 && len(draining) > 0 {
		return append(encode(suspects, nil), encode(nil, draining)...)
	}
	return append(encode(suspects[:len(suspects)/2], draining[:len(draining)/2]), encode(suspects[len(suspects)/2:], draining[len(draining)/2:])...)
}
