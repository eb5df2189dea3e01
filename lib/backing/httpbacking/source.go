package httpbacking

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Source is the client of a source of weights. It is safe for concurrent use.
type Source struct{ caller caller }

// NewSource returns a client of the origin or of the weight store.
func NewSource(cfg Config) *Source { return &Source{caller: newCaller(cfg)} }

// ReadRange implements backing.WeightSource. The timeout of the client bounds
// the time until the answer starts; ctx bounds the reading. A source that
// ignores the range is refused, because its bytes would be those of another
// range.
func (s *Source) ReadRange(ctx context.Context, object string, offset, length int64) (io.ReadCloser, error) {
	if length <= 0 {
		return io.NopCloser(strings.NewReader("")), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(s.caller.cfg.Timeout, cancel)
	resp, err := s.open(ctx, object, offset, length)
	if err != nil || !timer.Stop() {
		cancel()
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	if err := rangeError(resp, offset); err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	return &rangeReader{body: resp.Body, cancel: cancel}, nil
}

func (s *Source) open(ctx context.Context, object string, offset, length int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.caller.cfg.URL+objectPath(object), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", offset, offset+length-1))
	return s.caller.client.Do(req)
}

// rangeError maps the status of an answer, and checks that a partial answer
// starts where it was asked to.
func rangeError(resp *http.Response, offset int64) error {
	switch resp.StatusCode {
	case http.StatusPartialContent:
		prefix := fmt.Sprintf("bytes %d-", offset)
		if got := resp.Header.Get("Content-Range"); !strings.HasPrefix(got, prefix) {
			return merry.Wrap(backing.ErrUnavailable, merry.AppendMessagef("range %q answered, want %q", got, prefix))
		}
		return nil
	case http.StatusNotFound:
		return merry.Wrap(backing.ErrNotFound)
	case http.StatusTooManyRequests:
		return merry.Wrap(throttled(resp.Header))
	default:
		return merry.Wrap(backing.ErrUnavailable, merry.AppendMessagef("status %d", resp.StatusCode))
	}
}

// rangeReader releases the request when it is closed.
type rangeReader struct {
	body   io.ReadCloser
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (r *rangeReader) Read(p []byte) (int, error) { return r.body.Read(p) }

// Close implements io.Closer.
func (r *rangeReader) Close() error {
	defer r.cancel()
	return r.body.Close()
}

// objectPath escapes each segment of a name and keeps the slashes.
func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/")
}
