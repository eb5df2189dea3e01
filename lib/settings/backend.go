package settings

// BackendKind is the kind of an agent's backend server.
type BackendKind string

const (
	// BackendEngine is a model engine.
	BackendEngine BackendKind = "engine"
	// BackendPlain is a plain service.
	BackendPlain BackendKind = "plain"
)

// Fencing is the behavior of an engine on orders with an outdated fencing number.
type Fencing string

const (
	// FencingChecked means that the engine rejects such orders.
	FencingChecked Fencing = "checked"
	// FencingIgnored means that the engine executes such orders.
	FencingIgnored Fencing = "ignored"
)

// maxCapacity is far above the batch size of any engine in use. It rejects values
// that were meant for another key.
const maxCapacity = 4096

// Backend describes the backend server of an agent.
type Backend struct {
	// Pool is the group of instances that placements refer to.
	Pool string
	Kind BackendKind
	// Address is the HTTP base address of the backend server.
	Address string
	// Fencing is empty for plain services.
	Fencing Fencing
	// Capacity is the maximum number of concurrent requests.
	Capacity int
}

func (r *reader) backend() Backend {
	const section = "backend"
	b := Backend{
		Pool:     r.label(section, "pool"),
		Kind:     BackendKind(r.enum(section, "kind", string(BackendEngine), string(BackendEngine), string(BackendPlain))),
		Address:  r.httpAddress(section, "address", true),
		Capacity: r.integer(section, "capacity", 8, 1, maxCapacity),
	}
	if b.Kind == BackendPlain {
		if r.text(section, "fencing", "") != "" {
			r.addViolation(section, "fencing", "key conflicts with kind = plain: plain services take no orders", "no fencing key with kind = plain")
		}
		return b
	}
	// The default is the safe choice: if "ignored" is wrong, it only costs extra
	// reads of the engine's state, but if "checked" is wrong, an outdated order
	// could be executed.
	b.Fencing = Fencing(r.enum(section, "fencing", string(FencingIgnored), string(FencingChecked), string(FencingIgnored)))
	return b
}
