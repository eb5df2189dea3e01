package settings

// BackendKind says what the backend server of an agent is.
type BackendKind string

const (
	// BackendEngine is a model engine.
	BackendEngine BackendKind = "engine"
	// BackendPlain is a plain service.
	BackendPlain BackendKind = "plain"
)

// Fencing says what the engine does with an order that has an old number.
type Fencing string

const (
	// FencingChecked means that the engine refuses it.
	FencingChecked Fencing = "checked"
	// FencingIgnored means that the engine runs it.
	FencingIgnored Fencing = "ignored"
)

// maxCapacity is far above the batch of any engine in use; it catches a number
// that was meant for another key.
const maxCapacity = 4096

// Backend describes the backend server of an agent.
type Backend struct {
	// Pool names the group of instances that placements refer to.
	Pool    string
	Kind    BackendKind
	Address string
	// Fencing is empty for plain services.
	Fencing Fencing
	// Capacity is the number of requests that run at once.
	Capacity int
}

func (r *reader) backend() Backend {
	const section = "backend"
	b := Backend{
		Pool:     r.label(section, "pool"),
		Kind:     BackendKind(r.choice(section, "kind", string(BackendEngine), string(BackendEngine), string(BackendPlain))),
		Address:  r.address(section, "address", true),
		Capacity: r.number(section, "capacity", 8, 1, maxCapacity),
	}
	if b.Kind == BackendPlain {
		if r.text(section, "fencing", "") != "" {
			r.fault(section, "fencing", "key conflicts with kind = plain: plain services take no orders", "no fencing key with kind = plain")
		}
		return b
	}
	// The default is the engine that needs more care: a wrong "ignored" costs
	// reads of state, a wrong "checked" could let an old order through.
	b.Fencing = Fencing(r.choice(section, "fencing", string(FencingIgnored), string(FencingChecked), string(FencingIgnored)))
	return b
}
