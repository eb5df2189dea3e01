package settings

// Entry holds the settings of an entry daemon.
type Entry struct {
	Instance  Instance
	Listen    Listen
	Platform  Platform
	Transport Transport
	Log       Log
	Drain     Drain
	Memory    Memory
}

// ParseEntry parses the text of a settings file. The name of the file is used in
// violations. The error is an *InvalidError.
func ParseEntry(name, text string) (*Entry, error) {
	r, err := newReader(name, text)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		Instance:  r.instance(),
		Listen:    r.listen(true),
		Platform:  r.platform(true),
		Transport: r.transport(),
		Log:       r.log(),
		Drain:     r.drain(),
		Memory:    r.memory(0),
	}
	return e, r.finish()
}
