package wire

// Load is an agent's report on the load of its backend server.
type Load struct {
	// Running and Queued are numbers of requests.
	Running int `msgpack:"r"`
	Queued  int `msgpack:"q"`
	// Capacity is the maximum number of requests that the backend server runs
	// concurrently.
	Capacity int `msgpack:"c"`
	// FirstTokenMillis is the recent time to first token in milliseconds.
	FirstTokenMillis int `msgpack:"f"`
	// AgeMillis is the age of the report at the time of sending, in milliseconds.
	AgeMillis int `msgpack:"a"`
	// MinIntervalMillis is the time between two requests of one entry that the rate limit
	// of the backend server allows, in milliseconds; 0 without a limit.
	MinIntervalMillis int64 `msgpack:"i,omitempty"`
}
