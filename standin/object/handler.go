package object

import (
	"io"
	"net/http"

	"github.com/auburnbend/auburnbend/standin/reply"
)

// maxObject bounds an object in bytes.
const maxObject = 64 << 20

// Handler serves the object store over HTTP: GET and PUT of
// /objects/{name...}, where PUT never overwrites, and GET and PUT of /faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := s.Get(r.Context(), r.PathValue("name"))
		if err != nil {
			reply.Error(w, err)
			return
		}
		_, _ = w.Write(data)
	})
	mux.HandleFunc("PUT /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.PutIfAbsent(r.Context(), r.PathValue("name"), data); err != nil {
			reply.Error(w, err)
			return
		}
		w.WriteHeader(http.StatusCreated)
	})
	mux.Handle("/faults", &s.Faults)
	return mux
}
