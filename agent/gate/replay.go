package gate

// replay keeps the frames of an answer that the entry has not confirmed.
type replay struct {
	base   uint64 // sequence number of frames[0]
	frames [][]byte
	bytes  int
}

// next returns the sequence number of the next frame to be added.
func (r *replay) next() uint64 { return r.base + uint64(len(r.frames)) }

func (r *replay) add(data []byte) {
	r.frames = append(r.frames, data)
	r.bytes += len(data)
}

// ack drops the frames below next.
func (r *replay) ack(next uint64) {
	for r.base < next && len(r.frames) > 0 {
		r.bytes -= len(r.frames[0])
		r.frames[0] = nil
		r.frames = r.frames[1:]
		r.base++
	}
}

// get returns a frame that is still kept.
func (r *replay) get(sequence uint64) ([]byte, bool) {
	if sequence < r.base || sequence >= r.next() {
		return nil, false
	}
	return r.frames[sequence-r.base], true
}
