// Package rendezvous assigns keys to members by rendezvous hashing (highest random
// weight). All processes with the same set of members agree without communication, and
// if a member is removed, only its keys move.
//
// All functions are pure and safe for concurrent use.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key or member for Score. Callers that compute many scores
// should cache it.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Score returns the weight of a member for a key, given their hashes. It uses the
// multipliers of the splitmix64 finalizer, which spreads each input bit over the whole
// word.
func Score(key, member uint64) uint64 {
	x := key ^ (member*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Owner returns the member with the highest weight for key, or false if there are no
// members.
func Owner[M ~string](key string, members []M) (M, bool) {
	ranked := Rank(key, members, 1)
	if len(ranked) == 0 {
		var none M
		return none, false
	}
	return ranked[0], true
}

// Rank returns up to n members in descending order of their weight for key. Members with
// equal weights are ordered by name, so the order of the argument does not matter.
func Rank[M ~string](key string, members []M, n int) []M {
	type weighted struct {
		member M
		weight uint64
	}
	keyHash := Hash(key)
	all := make([]weighted, len(members))
	for i, m := range members {
		all[i] = weighted{m, Score(keyHash, Hash(string(m)))}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.member, b.member)
	})
	n = min(n, len(all))
	out := make([]M, n)
	for i := range out {
		out[i] = all[i].member
	}
	return out
}
