package model

// Weights identifies the weights that an instance has loaded: a base model by manifest
// digest and, if the adapter digest is set, an adapter for that base model.
type Weights struct {
	Base    Digest `msgpack:"b" json:"base"`
	Adapter Digest `msgpack:"a" json:"adapter"`
}

// IsZero reports whether no weights are set, as for plain services.
func (w Weights) IsZero() bool { return w == Weights{} }

// String returns the short digests, joined by a plus sign if there is an adapter.
func (w Weights) String() string {
	if w.Adapter.IsZero() {
		return w.Base.Short()
	}
	return w.Base.Short() + "+" + w.Adapter.Short()
}
