package explain

// reasons tells an operator what the reason of a request's end means.
var reasons = map[string]string{
	"no_server":              "no backend server of the service is known that may run it",
	"no_weights":             "no backend server holds weights that may still serve",
	"overloaded":             "no backend server could have answered within the target; predicted_ms is the best one",
	"paused":                 "all backend servers that could run it had asked for a pause; left_out names them, 7209 their pauses",
	"quarantined":            "three backend servers ended while they ran the same content; 7206 names it, 7205 the servers",
	"no configuration":       "the entry had not read a configuration yet",
	"no route":               "the configuration in force has no route for its host and path",
	"unknown key":            "the configuration in force has no team with its key",
	"malformed header":       "a header of the caller cannot be read",
	"body too long":          "its body is over the declared limit",
	"incomplete body":        "its body ended early",
	"unreachable":            "the backend server accepted no connection",
	"no answer":              "the backend server closed the connection without an answer; it may have run the request",
	"no answer in time":      "the backend server had not begun to answer after three targets",
	"rejected by the server": "the backend server said that it did not run it",
	"another server or other weights at the address": "another backend server has the address by now, or it changed its weights",
	"answer of another request":                      "the backend server sent an answer to another request",
	"answer without a signature":                     "what came was not a backend server's answer",
	"answer broken off, without an end or too long":  "the answer ended early, or did not end within the limit of an answer",
	"body not received in time":                      "the caller did not send its whole body within its limit",
	"stream stalled":                                 "no event came for four times the longest pause of a good stream",
	"stream broken off":                              "the stream ended early and could not be continued",
	"stream without events":                          "the stream ended before its first event",
	"event out of order":                             "the backend server repeated events",
	"continuation on other weights":                  "the stream would have continued on other weights than it began with",
	"no continuation":                                "the backend server did not continue the stream",
	"failure of the server":                          "the backend server itself answered with a failure",
	"time over":                                      "the caller's limit or the route's timeout passed",
	"caller left":                                    "the caller closed its connection",
}

// DescribeReason explains a reason, or returns an empty string for an unknown one.
func DescribeReason(reason string) string { return reasons[reason] }
