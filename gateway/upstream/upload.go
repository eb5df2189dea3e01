package upstream

import "net"

// upload is the sending of one request. The response may come before the server has read the
// request as a whole, so that a long body is sent while the response is read.
type upload struct {
	// done is closed when the operating system has taken all bytes, or when that has failed.
	done chan struct{}
	// err is why it has failed; nil if it has not. It is valid once done is closed.
	err error
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// run sends a head and then a body, from where it is: a second copy takes as much memory.
func (u *upload) run(conn net.Conn, head, body []byte) {
	defer close(u.done)
	if _, u.err = conn.Write(head); u.err == nil && len(body) > 0 {
		_, u.err = conn.Write(body)
	}
}

// ended reports whether run has returned.
func (u *upload) ended() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// failure returns why the sending has failed; nil if it has not, or not yet.
func (u *upload) failure() error {
	if !u.ended() {
		return nil
	}
	return u.err
}
