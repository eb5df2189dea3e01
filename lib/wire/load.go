package wire

// Load is an agent's report about its backend server.
type Load struct {
	Running int `msgpack:"r"`
	Queued  int `msgpack:"q"`
	// Capacity is the number of requests that the backend server runs at once.
	Capacity int `msgpack:"c"`
	// FirstTokenMillis is the recent time to first token in milliseconds.
	FirstTokenMillis int `msgpack:"f"`
	// AgeMillis is the age of the report when it was sent, in milliseconds.
	AgeMillis int `msgpack:"a"`
}
