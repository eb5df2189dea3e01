package route

// numbering gives names small numbers, so that a pick compares numbers instead
// of digests and strings. Numbers are not reused: a process sees some thousand
// versions and pools in its life.
type numbering[K comparable] map[K]uint32

// of returns the number of a name, from 1.
func (n numbering[K]) of(name K) uint32 {
	id, ok := n[name]
	if !ok {
		id = uint32(len(n)) + 1
		n[name] = id
	}
	return id
}
