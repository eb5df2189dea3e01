package table

import (
	"slices"
	"sort"
	"strings"
)

// maxHistory is the number of old states kept per row for stale reads.
const maxHistory = 64

// cell is the state of a row since the transaction with its sequence number.
type cell struct {
	sequence uint64
	version  uint64
	value    []byte
	deleted  bool
}

// rows holds one table: the keys in order and the recent states of each.
type rows struct {
	keys  []string
	cells map[string][]cell
}

func newRows() *rows { return &rows{cells: make(map[string][]cell)} }

// at returns the state of a row after the transaction with the given sequence
// number, or false if the row did not exist.
func (r *rows) at(key string, sequence uint64) (cell, bool) {
	states := r.cells[key]
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].sequence <= sequence {
			return states[i], !states[i].deleted
		}
	}
	return cell{}, false
}

// put adds a state. Versions keep growing over a deletion, so that a condition
// on an old version never holds again.
func (r *rows) put(key string, c cell) {
	states, known := r.cells[key]
	if !known {
		i, _ := slices.BinarySearch(r.keys, key)
		r.keys = slices.Insert(r.keys, i, key)
	}
	c.version = 1
	if len(states) > 0 {
		c.version = states[len(states)-1].version + 1
	}
	states = append(states, c)
	if len(states) > maxHistory {
		states = slices.Clone(states[len(states)-maxHistory:])
	}
	r.cells[key] = states
}

// keysFrom returns the keys with a prefix that follow after.
func (r *rows) keysFrom(prefix, after string) []string {
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
