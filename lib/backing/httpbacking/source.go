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
type Source struct{ http httpClient }

// NewSource returns a client of the origin or of the weight store.
func NewSource(cfg Config) *Source { return &Source{http: newHTTPClient(cfg)} }

// ReadRange implements backing.WeightSource. The client's timeout limits the time
// until the response header; ctx applies until the reader is closed. A response to
// another range than the requested one is rejected.
func (s *Source) ReadRange(ctx context.Context, object string, offset, length int64) (io.ReadCloser, error) {
	if length <= 0 {
		return io.NopCloser(strings.NewReader("")), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(s.http.cfg.Timeout, cancel)
	resp, err := s.open(ctx, object, offset, length)
	if err != nil || !timer.Stop() {
		cancel()
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	if err := checkRange(resp, offset); err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	return &rangeReader{body: resp.Body, cancel: cancel}, nil
}

func (s *Source) open(ctx context.Context, object string, offset, length int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.http.cfg.URL+objectPath(object), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", offset, offset+length-1))
	return s.http.client.Do(req)
}

// checkRange maps the status to an error and checks that a partial response starts at
// the requested offset.
func checkRange(resp *http.Response, offset int64) error {
	switch resp.StatusCode {
	case http.StatusPartialContent:
		prefix := fmt.Sprintf("bytes %d-", offset)
		if got := resp.Header.Get("Content-Range"); !strings.HasPrefix(got, prefix) {
			return merry.Wrap(backing.ErrUnavailable, merry.AppendMessagef("got range %q, want %q", got, prefix))
		}
		return nil
	case http.StatusNotFound:
		return merry.Wrap(backing.ErrNotFound)
	case http.StatusTooManyRequests:
		return merry.Wrap(throttledError(resp.Header))
	default:
		return merry.Wrap(backing.ErrUnavailable, merry.AppendMessagef("status %d", resp.StatusCode))
	}
}

// rangeReader cancels the request's context when it is closed.
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

// objectPath returns the URL path of an object. It escapes each segment of the name
// but keeps the slashes.
func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/")
}
