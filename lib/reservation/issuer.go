package reservation

// Issuer is used by an entry and numbers the tokens for each agent. It is not
// safe for concurrent use.
type Issuer struct {
	self         Process
	lastSequence map[Process]uint64
}

// NewIssuer returns the Issuer of one generation of an entry.
func NewIssuer(self Process) *Issuer {
	return &Issuer{self: self, lastSequence: make(map[Process]uint64)}
}

// Issue returns the next token for an agent. Sequence numbers start at 1.
func (i *Issuer) Issue(agent Process) Token {
	i.lastSequence[agent]++
	return Token{Issuer: i.self, Agent: agent, Sequence: i.lastSequence[agent]}
}

// Forget removes an agent whose generation has ended. It must not be called for
// a generation that may come back, because its sequence numbers would restart.
func (i *Issuer) Forget(agent Process) { delete(i.lastSequence, agent) }
