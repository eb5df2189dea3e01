package reservation

const (
	// defaultWindow is the number of sequence numbers per issuer that an agent
	// remembers, 512 bytes each. It bounds the unused tokens that an entry may
	// have out for one agent.
	defaultWindow = 4096
	// defaultMaxIssuers bounds the entries that one agent keeps windows for.
	defaultMaxIssuers = 256
)

// Config holds the limits of a Guard. Zero values take defaults.
type Config struct {
	Window     int
	MaxIssuers int
}

func (c Config) applyDefaults() Config {
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	// One word more than asked for: the bitmap slides by whole words.
	c.Window += wordBits
	if c.MaxIssuers <= 0 {
		c.MaxIssuers = defaultMaxIssuers
	}
	return c
}

// Guard is the agent's side: it accepts each token at most once.
type Guard struct {
	config  Config
	self    Process
	windows map[Process]*window
}

// NewGuard returns the guard of one generation of an agent.
func NewGuard(config Config, self Process) *Guard {
	return &Guard{config: config.applyDefaults(), self: self, windows: make(map[Process]*window)}
}

// Redeem decides about a token and marks it as used when it is accepted. Windows
// are never dropped to make room: a dropped window would accept its numbers
// again.
func (g *Guard) Redeem(t Token) Verdict {
	if t.Agent != g.self {
		return VerdictWrongAgent
	}
	w, ok := g.windows[t.Issuer]
	if !ok {
		if t.Sequence == 0 {
			return VerdictInvalid
		}
		if len(g.windows) >= g.config.MaxIssuers {
			return VerdictTooManyIssuers
		}
		w = newWindow(g.config.Window)
		g.windows[t.Issuer] = w
	}
	return w.use(t.Sequence)
}
