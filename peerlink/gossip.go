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
	// Parts lists parts of prompts that were in flight when backend servers crashed.
	Parts wire.SuspectUpdate `msgpack:"p"`
	// Draining lists servers that have announced that they are draining.
	Draining []ServerKey `msgpack:"l,omitempty"`
	// Limits lists the rate limits of servers.
	Limits []RateLimit `msgpack:"r,omitempty"`
	// Forward asks an agent to forward the message to entries, and an entry to
	// forward what it didn't know yet to the other entries of its region.
	Forward bool `msgpack:"s,omitempty"`
}

// Empty reports whether there is nothing to send.
func (g *Gossip) Empty() bool {
	return g.size() == 0
}

// AddSuspects adds an update on contents of requests; nil adds none.
func (g *Gossip) AddSuspects(update *wire.SuspectUpdate) { addUpdate(&g.Suspects, update) }

// AddParts adds an update on parts of prompts; nil adds none.
func (g *Gossip) AddParts(update *wire.SuspectUpdate) { addUpdate(&g.Parts, update) }

func addUpdate(to, update *wire.SuspectUpdate) {
	if update != nil {
		to.Suspects = append(to.Suspects, update.Suspects...)
		to.Cleared = append(to.Cleared, update.Cleared...)
	}
}

// Datagrams encodes the gossip in datagrams of at most limit bytes, splitting it
// as necessary. A single suspect or server is never split.
func (g *Gossip) Datagrams(limit int) [][]byte {
	data, err := msgpack.Marshal(&Datagram{Gossip: g})
	if err != nil {
		panic(err)
	}
	if len(data) <= limit || g.size() < 2 {
		return [][]byte{data}
	}
	first, second := &Gossip{Forward: g.Forward}, &Gossip{Forward: g.Forward}
	first.Suspects.Suspects, second.Suspects.Suspects = halves(g.Suspects.Suspects)
	first.Parts.Suspects, second.Parts.Suspects = halves(g.Parts.Suspects)
	first.Draining, second.Draining = halves(g.Draining)
	first.Limits, second.Limits = halves(g.Limits)
	if first.Empty() {
		first, second = separateKinds(g)
	}
	return append(first.Datagrams(limit), second.Datagrams(limit)...)
}

// size returns the number of suspects, servers and limits.
func (g *Gossip) size() int {
	return len(g.Suspects.Suspects) + len(g.Parts.Suspects) + len(g.Draining) + len(g.Limits)
}

// separateKinds splits a gossip that has at most one item of each kind.
func separateKinds(g *Gossip) (first, second *Gossip) {
	first, second = &Gossip{Forward: g.Forward}, &Gossip{Forward: g.Forward, Parts: g.Parts, Draining: g.Draining, Limits: g.Limits}
	switch {
	case len(g.Suspects.Suspects) > 0:
		first.Suspects = g.Suspects
	case len(g.Parts.Suspects) > 0:
		first.Parts, second.Parts = g.Parts, wire.SuspectUpdate{}
	default:
		first.Draining, second.Draining = g.Draining, nil
	}
	return first, second
}

func halves[T any](list []T) (first, second []T) {
	return list[:len(list)/2], list[len(list)/2:]
}
