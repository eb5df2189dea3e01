package caller

import "io"

// heldBody is the body of a response that is being sent. The HTTP library closes it at the
// end, also if sending it fails.
type heldBody struct {
	parts [][]byte
	room  *responseRoom
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// Close implements io.Closer. It returns the room.
func (b *heldBody) Close() error {
	b.parts = nil
	b.room.release()
	return nil
}
