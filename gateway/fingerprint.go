package gateway

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// fingerprint returns a digest of the request's team, method, host, target and body.
// It does not depend on the ID that the caller gives the request. It is computed on
// first use.
func (r *request) fingerprint() model.Fingerprint {
	if !r.contentHashed {
		team := ""
		if r.team != nil {
			team = r.team.Name
		}
		target := r.http.Method + " " + r.http.Host + r.http.RequestURI
		r.content, r.contentHashed = model.FingerprintOf(model.Tenant(team), model.Service(target), r.body), true
	}
	return r.content
}
