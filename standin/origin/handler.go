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

// Handler serves the source over HTTP: GET and PUT of /objects/{name...}, where
// GET takes one range of the form bytes=first-last, GET /stats, and GET and PUT
// of /faults. A throttled request gets 429 and Retry-After.
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

// parseRange reads one range with both ends given and cuts it at the size.
func parseRange(header string, size int64) (first, last int64, err error) {
	from, to, ok := strings.Cut(strings.TrimPrefix(header, "bytes="), "-")
	if !ok {
		return 0, 0, merry.Errorf("range %q, allowed is bytes=first-last", header)
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
		return 0, 0, merry.Errorf("range %q of %d bytes", header, size)
	}
	return first, min(last, size-1), nil
}
