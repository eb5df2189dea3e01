package origin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/standin/reply"
)

// Handler returns the HTTP handler of the source:
//
//	GET /objects/{name...}   the bytes of an object, or the range given by Range: bytes=first-last
//	PUT /objects/{name...}   stores or replaces an object
//	GET /stats               Stats
//	GET, PUT /faults         fault.Faults
//
// It replies to a throttled request with status 429 and Retry-After.
func (s *Source) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.serveRange)
	mux.HandleFunc("PUT /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Put(r.PathValue("name"), data)
		w.WriteHeader(http.StatusCreated)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, s.Stats()) })
	mux.Handle("/faults", &s.Faults)
	return mux
}

func (s *Source) serveRange(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	size, err := s.Size(name)
	if err != nil {
		reply.Error(w, err)
		return
	}
	first, last, status := int64(0), size-1, http.StatusOK
	if header := r.Header.Get("Range"); header != "" {
		first, last, err = parseRange(header, size)
		if err != nil {
			w.Header().Set("Content-Range", fmt.Sprintf("bytes */%d", size))
			w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
			return
		}
		w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, size))
		status = http.StatusPartialContent
	}
	body, err := s.ReadRange(r.Context(), name, first, last-first+1)
	if err != nil {
		w.Header().Del("Content-Range")
		reply.Error(w, err)
		return
	}
	defer func() { _ = body.Close() }()
	w.Header().Set("Content-Length", strconv.FormatInt(last-first+1, 10))
	w.WriteHeader(status)
	if _, err := io.Copy(flushWriter{w, http.NewResponseController(w)}, body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// parseRange parses a Range header of the form bytes=first-last for an object of size
// bytes. It limits last to the end of the object.
func parseRange(header string, size int64) (first, last int64, err error) {
	from, to, ok := strings.Cut(strings.TrimPrefix(header, "bytes="), "-")
	if !ok {
		return 0, 0, merry.Errorf("range %q, want bytes=first-last", header)
	}
	first, err = strconv.ParseInt(from, 10, 64)
	if err != nil {
		return 0, 0, merry.Wrap(err)
	}
	last, err = strconv.ParseInt(to, 10, 64)
	if err != nil {
		return 0, 0, merry.Wrap(err)
	}
	if first < 0 || first >= size || last < first {
		return 0, 0, merry.Errorf("range %q not satisfiable for object of %d bytes", header, size)
	}
	return first, min(last, size-1), nil
}
