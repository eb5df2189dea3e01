package reservation

// Issuer is the entry's side: it numbers the tokens for each agent.
type Issuer struct {
	self Process
	last map[Process]uint64
}

// NewIssuer returns the issuer of one generation of an entry.
func NewIssuer(self Process) *Issuer {
	return &Issuer{self: self, last: make(map[Process]uint64)}
}

// Issue returns the next token for an agent. Numbers start at 1.
func (i *Issuer) Issue(agent Process) Token {
	i.last[agent]++
	return Token{Issuer: i.self, Agent: agent, Sequence: i.last[agent]}
}

// Forget drops an agent whose generation has ended. It must not be called for a
// generation that may come back: its numbers would start again.
func (i *Issuer) Forget(agent Process) { delete(i.last, agent) }
