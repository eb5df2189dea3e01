package model

// Weights names exactly what an instance has loaded: a base model by manifest
// digest and, where the adapter digest is set, an adapter over that base.
type Weights struct {
	Base    Digest `msgpack:"b" json:"base"`
	Adapter Digest `msgpack:"a" json:"adapter"`
}

// IsZero reports whether no weights are named, as for plain services.
func (w Weights) IsZero() bool { return w == Weights{} }

// String returns the short digests joined by a plus sign.
func (w Weights) String() string {
	if w.Adapter.IsZero() {
		return w.Base.Short()
	}
	return w.Base.Short() + "+" + w.Adapter.Short()
}
