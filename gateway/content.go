package gateway

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// fingerprint identifies the request by its team, method, host, target and body,
// whatever id its caller gives it.
func (r *request) fingerprint() model.Fingerprint {
	if !r.hashed {
		team := ""
		if r.team != nil {
			team = r.team.Name
		}
		place := r.http.Method + " " + r.http.Host + r.http.RequestURI
		r.content, r.hashed = model.FingerprintOf(model.Tenant(team), model.Service(place), r.body), true
	}
	return r.content
}
