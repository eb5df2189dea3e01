package config

// maxCachedResponses limits the responses that are cached until the next revision.
// The agents of one entry are at few different revisions.
const maxCachedResponses = 16

// RevisionsAfter returns encoded revisions that bring a replica from the given
// revision to the head of this one: a delta, merged if it spans several revisions,
// or a snapshot if the steps are not retained. It returns nil if the given
// revision is not lower than the head.
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
	data := r.responses[first]
	if data == nil {
		var err error
		if data, err = r.encodeResponse(first); err != nil {
			return nil, err
		}
		if r.responses == nil || len(r.responses) >= maxCachedResponses {
			r.responses = make(map[int][]byte)
		}
		r.responses[first] = data
	}
	return [][]byte{data}, nil
}

// encodeResponse encodes one revision that leads from the base of the retained step
// with the given index to the head, or a snapshot if the index is -1.
func (r *Replica) encodeResponse(first int) ([]byte, error) {
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

// retain stores a step for other processes and drops the oldest ones beyond the
// limits, which also limit the size of a merged revision.
func (r *Replica) retain(base Head, revision Revision) {
	revision.Snapshot = nil
	if base.Number+1 == revision.Number {
		revision.PreviousDigest, revision.MergedDelta, revision.BaseNumber, revision.BaseDigest = nil, nil, 0, nil
	} else {
		// The received revision may have an older base, whose digest this
		// replica cannot check. It has checked the revision that it applied
		// the step to, and stores that as the base.
		revision.BaseNumber, revision.BaseDigest = base.Number, &base.Digest
	}
	data, err := revision.Encode()
	if err != nil {
		// Without this step, the earlier ones no longer lead to the head.
		r.retained, r.retainedBytes = nil, 0
		return
	}
	r.retained = append(r.retained, retainedStep{base: base, number: revision.Number, data: data})
	r.retainedBytes += len(data)
	for len(r.retained) > r.cfg.MaxRetained || r.retainedBytes > r.cfg.MaxRetainedBytes && len(r.retained) > 1 {
		r.retainedBytes -= len(r.retained[0].data)
		r.retained = r.retained[1:]
	}
}
