package gateway

import "net/http"

// resetUnframed resets the caller's connection if the response has no framing of its
// own. To a caller with HTTP/1.0, the end of the connection is the end of the response,
// so a stream that is cut would look complete; a reset is an error.
func (r *request) resetUnframed() {
	if !r.stream.started || r.http.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(r.writer).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
