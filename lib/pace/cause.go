package pace

// Cause is why the concurrency of a server is limited, as logs name it.
type Cause string

// Causes of a limit.
const (
	// Started means that the server, or another incarnation of it, has started under load.
	Started Cause = "start"
	// Ejection, Pause and Cold mean that such a period of the server has ended.
	Ejection Cause = "ejection"
	Pause    Cause = "pause"
	Cold     Cause = "cold"
)
