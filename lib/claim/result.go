package claim

import "github.com/auburnbend/auburnbend/lib/outcome"

// Result is the stored response of a request that ran.
type Result struct {
	Outcome     outcome.Outcome `msgpack:"o"`
	Reason      outcome.Reason  `msgpack:"r"`
	Status      int             `msgpack:"s"` // HTTP status of the backend server
	ContentType string          `msgpack:"c"`
	Body        []byte          `msgpack:"b"`
	// BodyOmitted indicates that the body exceeded Config.MaxResultBytes and was
	// not stored: the outcome is known, but the response cannot be sent again.
	BodyOmitted bool `msgpack:"x"`
}
