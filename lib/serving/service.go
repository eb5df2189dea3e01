package serving

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath answers 200 on a healthy backend server; empty if there is
	// none.
	HealthPath string
	// MaxConnections bounds the connections to one backend server from all
	// callers together; zero means unknown.
	MaxConnections int
	// Engine describes model engines; nil for plain services.
	Engine *Engine
	// Origin describes an origin of weights; nil for services that take
	// requests.
	Origin *Origin
}
