package route

// idTable assigns small integer IDs to names, so that a pick compares integers
// instead of digests and strings. IDs are not reused: a process sees a few
// thousand versions and pools in its lifetime.
type idTable[K comparable] map[K]uint32

// id returns the ID of a name, assigning one if necessary. IDs start at 1.
func (t idTable[K]) id(name K) uint32 {
	id, ok := t[name]
	if !ok {
		id = uint32(len(t)) + 1
		t[name] = id
	}
	return id
}
