package gateway

import "github.com/auburnbend/auburnbend/lib/model"

// subjects are what may have crashed the server of a request: its content and the parts of
// its prompt that other requests have as well.
type subjects struct {
	content model.Fingerprint
	parts   []model.Fingerprint
}

// partService takes the place of the service in the fingerprint of a part of a prompt. No
// service has this name.
const partService model.Service = "\x00prompt part"

// subjects returns the fingerprints of the request's content and of the shared parts of
// its prompt, which are the same for all callers. They are computed on first use.
func (r *request) subjects() subjects {
	x := subjects{content: r.fingerprint(), parts: r.parts}
	if len(r.parts) == len(r.info.PromptParts) {
		return x
	}
	for _, id := range r.info.PromptParts {
		r.parts = append(r.parts, model.FingerprintOf("", partService, []byte(id)))
	}
	x.parts = r.parts
	return x
}
