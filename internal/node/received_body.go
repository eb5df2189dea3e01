package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
)

// bodyProgressBytes is the number of bytes of a body that count as progress of its caller.
const bodyProgressBytes = 64 << 10

// slotKey is the key of the *connlimit.Slot in the context of a request.
type slotKey struct{}

// withSlot is the ConnContext hook of the server.
func withSlot(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(interface{ connSlot() *connlimit.Slot }); ok {
		return context.WithValue(ctx, slotKey{}, c.connSlot())
	}
	return ctx
}

// keepReceived passes requests on and records when they have been received as a whole. From
// then on, their connections are not closed in favour of new ones.
func keepReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slot, _ := r.Context().Value(slotKey{}).(*connlimit.Slot)
		switch {
		case slot == nil:
		case r.ContentLength != 0:
			// The server looks at the type of its own request's body.
			body := &receivedBody{ReadCloser: r.Body, slot: slot}
			r = r.WithContext(r.Context())
			r.Body = body
		case !slot.Keep():
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// receivedBody is the body of a request that is still in its caller's connection.
type receivedBody struct {
	io.ReadCloser
	slot *connlimit.Slot
	// progress counts the bytes since progress was recorded.
	progress int
}

// Read implements io.Reader. It fails if the connection was closed in favour of another one:
// the request must not run then.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.progress += n; b.progress >= bodyProgressBytes {
		b.progress = 0
		b.slot.Progress(time.Now())
	}
	if errors.Is(err, io.EOF) && !b.slot.Keep() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
