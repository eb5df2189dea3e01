package gate

// replayBuffer holds the frames of a response that the entry has not confirmed.
type replayBuffer struct {
	firstSequence uint64 // sequence number of frames[0]
	frames        [][]byte
	bytes         int
}

// nextSequence returns the sequence number of the next frame to be added.
func (r *replayBuffer) nextSequence() uint64 { return r.firstSequence + uint64(len(r.frames)) }

// countedBytes is the part of the bytes that counts against the limit of all attempts.
func (r *replayBuffer) countedBytes() int64 { return max(0, int64(r.bytes)-freeReplayBytes) }

func (r *replayBuffer) add(data []byte) {
	r.frames = append(r.frames, data)
	r.bytes += len(data)
}

// ack drops the frames below next.
func (r *replayBuffer) ack(next uint64) {
	for r.firstSequence < next && len(r.frames) > 0 {
		r.bytes -= len(r.frames[0])
		r.frames[0] = nil
		r.frames = r.frames[1:]
		r.firstSequence++
	}
}

// get returns the frame with a sequence number if it is in the buffer.
func (r *replayBuffer) get(sequence uint64) ([]byte, bool) {
	if sequence < r.firstSequence || sequence >= r.nextSequence() {
		return nil, false
	}
	return r.frames[sequence-r.firstSequence], true
}
