package distribute

import (
	"context"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// originName is the node name of the origin.
const originName = "origin"

// origin serves objects to all instances over one shared link.
type origin struct {
	network     *network
	up          *rate.Limiter
	objects     map[string][]byte
	bytesServed atomic.Int64
}

// originClient reads from the origin on behalf of one instance.
type originClient struct {
	*origin
	instance *node
}

// ReadRange opens a byte range of an object, limited to the end of the object. It
// returns backing.ErrNotFound for an unknown object.
func (o originClient) ReadRange(ctx context.Context, object string, offset, length int64) (io.ReadCloser, error) {
	data, ok := o.objects[object]
	if !ok {
		return nil, backing.ErrNotFound
	}
	ctx, cancel := context.WithCancel(ctx)
	offset = min(offset, int64(len(data)))
	r := &originReader{o: o, ctx: ctx, cancel: cancel, data: data[offset:min(offset+length, int64(len(data)))]}
	if length > 0 && o.network.drawCorruption() && len(r.data) > 0 {
		r.data = append([]byte(nil), r.data...)
		r.data[len(r.data)/2] ^= 0x55
	}
	return r, nil
}

// originReader reads an open range over the emulated links.
type originReader struct {
	o      originClient
	ctx    context.Context
	cancel context.CancelFunc
	data   []byte
}

func (r *originReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	if r.o.network.isStalled(originName, r.o.instance.name) {
		<-r.ctx.Done()
		return 0, r.ctx.Err()
	}
	n := min(len(p), linkQuantum, len(r.data))
	if err := waitForLinks(r.ctx, n, r.o.up, r.o.instance.down); err != nil {
		return 0, err
	}
	copy(p, r.data[:n])
	r.data = r.data[n:]
	r.o.bytesServed.Add(int64(n))
	return n, nil
}

func (r *originReader) Close() error {
	r.cancel()
	return nil
}
