package table

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/reply"
)

// maxCommitBytes is the maximum size of the body of a commit.
const maxCommitBytes = 16 << 20

// Handler returns the HTTP handler of the table service:
//
//	GET  /row?table=&key=                      one backing.Row
//	GET  /rows?table=&prefix=&after=&limit=    a list of backing.Row
//	POST /commit                               applies a backing.Transaction
//	GET  /stats                                Stats
//	GET, PUT /faults                           fault.Faults
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /row", s.serveRow)
	mux.HandleFunc("GET /rows", s.serveRows)
	mux.HandleFunc("POST /commit", s.serveCommit)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, s.Stats()) })
	mux.Handle("/faults", &s.Faults)
	return mux
}

func (s *Service) serveRow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	found, err := s.Get(r.Context(), q.Get("table"), q.Get("key"))
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, found)
}

func (s *Service) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "query parameter limit is not a positive number", http.StatusBadRequest)
		return
	}
	found, err := s.Scan(r.Context(), q.Get("table"), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, found)
}

func (s *Service) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx backing.Transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommitBytes)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.Commit(r.Context(), tx)
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.As(err, &conflict):
		reply.JSONStatus(w, http.StatusConflict, reply.Conflict{Index: conflict.Index})
	default:
		reply.Error(w, err)
	}
}
