package table

import (
	"slices"
	"sort"
	"strings"
)

// maxRowStates is the number of latest states kept per row, for stale reads.
const maxRowStates = 64

// rowState is the state of a row, starting at the given sequence number of a transaction.
type rowState struct {
	sequence uint64
	version  uint64
	value    []byte
	deleted  bool
}

// tableRows contains the rows of one table. It is not safe for concurrent use.
type tableRows struct {
	// keys contains the keys of all rows, including deleted ones, in ascending order.
	keys []string
	// states contains the latest states of each row, the oldest first.
	states map[string][]rowState
}

func newTableRows() *tableRows { return &tableRows{states: make(map[string][]rowState)} }

// stateAt returns the state of a row after the transaction with the given sequence number.
// It returns false if the row did not exist then.
func (r *tableRows) stateAt(key string, sequence uint64) (rowState, bool) {
	states := r.states[key]
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].sequence <= sequence {
			return states[i], !states[i].deleted
		}
	}
	return rowState{}, false
}

// addState adds a state with the next version of the row. Versions keep increasing across
// deletions, so that a condition on an old version never holds again.
func (r *tableRows) addState(key string, state rowState) {
	states, exists := r.states[key]
	if !exists {
		i, _ := slices.BinarySearch(r.keys, key)
		r.keys = slices.Insert(r.keys, i, key)
	}
	state.version = 1
	if len(states) > 0 {
		state.version = states[len(states)-1].version + 1
	}
	states = append(states, state)
	if len(states) > maxRowStates {
		states = slices.Clone(states[len(states)-maxRowStates:])
	}
	r.states[key] = states
}

// keysFrom returns, in ascending order, the keys that start with prefix and are greater
// than after. An empty after means from the beginning.
func (r *tableRows) keysFrom(prefix, after string) []string {
	start := sort.SearchStrings(r.keys, prefix)
	if after != "" {
		next := sort.Search(len(r.keys), func(i int) bool { return r.keys[i] > after })
		start = max(start, next)
	}
	end := start
	for end < len(r.keys) && strings.HasPrefix(r.keys[end], prefix) {
		end++
	}
	return r.keys[start:end]
}
