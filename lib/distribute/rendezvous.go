package distribute

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
)

// RendezvousOrder sorts names by their hash with a key (rendezvous hashing).
// All processes compute the same order, and removing a name changes which name
// ranks first only for the keys for which it ranked first itself. names is not
// modified.
func RendezvousOrder(key model.Digest, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, name := range names {
		list[i] = scored{name: name, score: score(key, name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

func score(key model.Digest, name string) uint64 {
	buf := make([]byte, 0, len(key)+len(name))
	buf = append(append(buf, key[:]...), name...)
	sum := blake3.Sum256(buf)
	return binary.BigEndian.Uint64(sum[:8])
}
