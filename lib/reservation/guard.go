package reservation

const (
	// defaultWindow is the number of sequence numbers per issuer that an agent
	// remembers. A window takes 512 bytes. It limits the unused tokens that an
	// entry may have outstanding for one agent.
	defaultWindow = 4096
	// defaultMaxIssuers is the maximum number of entries for which an agent keeps
	// windows.
	defaultMaxIssuers = 256
)

// Config holds the limits of a Guard. Values that are not positive take their
// defaults.
type Config struct {
	Window     int
	MaxIssuers int
}

func (c Config) applyDefaults() Config {
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	// One extra word, because the bitmap slides by whole words.
	c.Window += wordBits
	if c.MaxIssuers <= 0 {
		c.MaxIssuers = defaultMaxIssuers
	}
	return c
}

// Guard is used by an agent and accepts each token at most once. It is not safe
// for concurrent use.
type Guard struct {
	config  Config
	self    Process
	windows map[Process]*window
}

// NewGuard returns the Guard of one generation of an agent.
func NewGuard(config Config, self Process) *Guard {
	return &Guard{config: config.applyDefaults(), self: self, windows: make(map[Process]*window)}
}

// Redeem checks a token and marks it as used if it is accepted. Windows are
// never evicted: a new window would accept the same sequence numbers again.
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
	return w.redeem(t.Sequence)
}
