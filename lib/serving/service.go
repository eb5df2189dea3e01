package serving

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path that returns status 200 on a healthy backend server;
	// empty if there is none.
	HealthPath string
	// MaxConnections limits the connections to one backend server from all callers
	// together; zero means unknown.
	MaxConnections int
	// ColdRequestsPerSecond is what a cold backend server tolerates from all entries
	// together; zero means that there is no limit.
	ColdRequestsPerSecond float64
	// Engine describes the model engines; nil for plain services.
	Engine *Engine
	// Origin describes the origin of weights; nil for services that run requests.
	Origin *Origin
}
