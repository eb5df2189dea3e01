package peerlink

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// SuspectNews tells which contents have ended backend servers.
type SuspectNews struct {
	Update wire.SuspectUpdate `msgpack:"u"`
	// Spread asks an agent to pass it on to entries, and an entry to pass what is news
	// to it on to the others of its region.
	Spread bool `msgpack:"s,omitempty"`
}

// Datagrams encodes the news in datagrams of at most limit bytes.
func (n *SuspectNews) Datagrams(limit int) [][]byte {
	data, err := msgpack.Marshal(&Datagram{SuspectNews: n})
	if err != nil {
		panic(err)
	}
	all := n.Update.Suspects
	if len(data) <= limit || len(all) < 2 {
		return [][]byte{data}
	}
	half := func(part []wire.Suspect) [][]byte {
		return (&SuspectNews{Update: wire.SuspectUpdate{Suspects: part}, Spread: n.Spread}).Datagrams(limit)
	}
	return append(half(all[:len(all)/2]), half(all[len(all)/2:])...)
}
