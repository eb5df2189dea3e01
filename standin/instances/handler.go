package instances

import (
	"encoding/json"
	"net/http"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/reply"
)

// Handler returns the HTTP handler of the list:
//
//	GET    /instances        the visible instances
//	PUT    /instances        adds or replaces one backing.Instance
//	DELETE /instances/{id}   removes an instance
//	GET, PUT /faults         fault.Faults
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		visible, err := l.List(r.Context())
		if err != nil {
			reply.Error(w, err)
			return
		}
		reply.JSON(w, visible)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var instance backing.Instance
		if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(instance)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(model.InstanceID(r.PathValue("id")))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle("/faults", &l.Faults)
	return mux
}
