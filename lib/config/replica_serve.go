package config

// maxAnswers bounds the answers that are kept until the next revision; the
// agents of one entry are at few different revisions.
const maxAnswers = 16

// RevisionsAfter returns encoded revisions that lead a holder of the given revision
// towards this replica's: one delta, merged if it leads over several revisions,
// or a snapshot if the steps are not retained. It returns nil if the holder is
// up to date.
func (r *Replica) RevisionsAfter(number uint64) ([][]byte, error) {
	if number >= r.state.head.Number {
		return nil, nil
	}
	first := -1
	for i, step := range r.retained {
		if number > 0 && step.base.Number <= number {
			first = i
		}
	}
	data := r.answers[first]
	if data == nil {
		var err error
		if data, err = r.answer(first); err != nil {
			return nil, err
		}
		if r.answers == nil || len(r.answers) >= maxAnswers {
			r.answers = make(map[int][]byte)
		}
		r.answers[first] = data
	}
	return [][]byte{data}, nil
}

// answer encodes one revision that leads from the base of a retained step to
// the head, or a snapshot for -1.
func (r *Replica) answer(first int) ([]byte, error) {
	var revision Revision
	var err error
	switch {
	case first < 0:
		revision, err = r.state.revision.WithSnapshot(r.state.previous.Digest, r.state.config)
	case first == len(r.retained)-1:
		return r.retained[first].data, nil
	default:
		revision, err = mergeSteps(r.retained[first:], r.state.revision, r.state.previous)
	}
	if err != nil {
		return nil, err
	}
	return revision.Encode()
}

// retain keeps a step for others and drops the oldest beyond the limits, which
// also bound the size of a merged revision.
func (r *Replica) retain(base Head, revision Revision) {
	revision.Snapshot = nil
	if base.Number+1 == revision.Number {
		revision.PreviousDigest, revision.MergedDelta, revision.BaseNumber, revision.BaseDigest = nil, nil, 0, nil
	} else {
		// The merged revision may lead from further back; the digest of the own
		// revision is the one that others can check.
		revision.BaseNumber, revision.BaseDigest = base.Number, &base.Digest
	}
	data, err := revision.Encode()
	if err != nil {
		// The steps before this one no longer lead to the head.
		r.retained, r.bytes = nil, 0
		return
	}
	r.retained = append(r.retained, retainedStep{base: base, number: revision.Number, data: data})
	r.bytes += len(data)
	for len(r.retained) > r.cfg.MaxRetained || r.bytes > r.cfg.MaxRetainedBytes && len(r.retained) > 1 {
		r.bytes -= len(r.retained[0].data)
		r.retained = r.retained[1:]
	}
}
