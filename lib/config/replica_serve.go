package config

// maxServed bounds the bytes of one answer, well below the size of a frame.
const maxServed = 1 << 20

// After returns encoded revisions that lead a holder of the given revision
// towards this replica's: deltas if all are retained, else one snapshot. It
// returns nil if the holder is up to date.
func (r *Replica) After(number uint64) ([][]byte, error) {
	head := r.state.head.Number
	if number >= head {
		return nil, nil
	}
	if len(r.retained) > 0 && number > 0 && number+1 >= r.retained[0].number {
		var served [][]byte
		size := 0
		for _, kept := range r.retained[number+1-r.retained[0].number:] {
			if size += len(kept.data); size > maxServed && len(served) > 0 {
				break
			}
			served = append(served, kept.data)
		}
		return served, nil
	}
	snapshot, err := r.state.revision.WithSnapshot(r.state.previous.Digest, r.state.config)
	if err != nil {
		return nil, err
	}
	data, err := snapshot.Encode()
	if err != nil {
		return nil, err
	}
	return [][]byte{data}, nil
}

// retain keeps a revision for others and drops the oldest beyond the limits.
func (r *Replica) retain(revision Revision) {
	revision.Previous, revision.Snapshot = nil, nil
	data, err := revision.Encode()
	if err != nil {
		return
	}
	r.retained = append(r.retained, retainedRevision{number: revision.Number, data: data})
	r.bytes += len(data)
	for len(r.retained) > r.cfg.Retained || r.bytes > r.cfg.RetainedBytes && len(r.retained) > 1 {
		r.bytes -= len(r.retained[0].data)
		r.retained = r.retained[1:]
	}
}
