package object

import (
	"io"
	"net/http"

	"github.com/auburnbend/auburnbend/standin/reply"
)

// maxObjectBytes is the maximum size of an object.
const maxObjectBytes = 64 << 20

// Handler returns the HTTP handler of the object store:
//
//	GET /objects/{name...}   the bytes of an object
//	PUT /objects/{name...}   stores an object unless it exists
//	GET, PUT /faults         fault.Faults
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
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
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
