package settings

// Agent holds the settings of an agent daemon.
type Agent struct {
	Instance  Instance
	Listen    Listen
	Platform  Platform
	Backend   Backend
	Transfer  Transfer
	Transport Transport
	Log       Log
	Drain     Drain
	Memory    Memory
}

// ParseAgent parses the text of a settings file. The name of the file is used in
// violations. The error is an *InvalidError.
func ParseAgent(name, text string) (*Agent, error) {
	r, err := newReader(name, text)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		Instance:  r.instance(),
		Listen:    r.listen(false),
		Platform:  r.platform(false),
		Backend:   r.backend(),
		Transport: r.transport(),
		Log:       r.log(),
		Drain:     r.drain(),
	}
	a.Transfer = r.transfer(a.Backend.Kind)
	a.Memory = r.memory(a.Backend.Capacity)
	return a, r.finish()
}
