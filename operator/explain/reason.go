package explain

// reasonDescriptions explains, for operators, the values of the log field "reason".
var reasonDescriptions = map[string]string{
	"no_server":                     "no backend server of the service that may run the request is known",
	"no_home":                       "no backend server of the service is in a region that both the route and the team of the request allow",
	"evacuated":                     "all backend servers that could run the request are in failure domains that the operator evacuates; events 7211 and 7212 show which and until when",
	"failure domain is evacuated":   "the operator evacuated the failure domain of the backend server after the request was placed and before it was sent",
	"no_weights":                    "no backend server has loaded weights that may still serve",
	"overloaded":                    "no backend server was expected to respond within the target; predicted_ms is the lowest prediction",
	"rate_limited":                  "all backend servers that could run the request had named a rate limit, or were cold and tolerate few requests a second, and that was reached; left_out lists them, events 7210 show their limits, events 7102 with cold_ms when they became cold",
	"paused":                        "all backend servers that could run the request had asked for a pause; left_out lists them, events 7209 show their pauses",
	"quarantined":                   "three backend servers crashed while they ran the same content; event 7206 shows the content, events 7205 the servers",
	"no configuration":              "the entry had not received a configuration yet",
	"no route":                      "the configuration in force has no route for the host and path of the request",
	"unknown key":                   "the configuration in force has no team with the API key of the request",
	"malformed header":              "a header sent by the caller is malformed",
	"body too long":                 "the body of the request exceeds the declared limit",
	"incomplete body":               "the body of the request ended early",
	"unreachable":                   "the backend server did not accept the connection",
	"no answer":                     "the backend server closed the connection without a response; it may have run the request",
	"no answer in time":             "the backend server had not begun to respond after three times the target",
	"rejected by the server":        "the backend server reported that it did not run the request",
	"server has named a rate limit": "the backend server named a rate limit after the request was placed and before it was sent",
	"another server or other weights at the address": "the address now belongs to another backend server, or the server has loaded other weights",
	"answer of another request":                      "the backend server sent the response to another request",
	"answer without a signature":                     "the response did not come from a backend server",
	"answer broken off, without an end or too long":  "the response ended early, or exceeded the maximum length of a response",
	"body not received in time":                      "the caller did not send the whole body within its time limit",
	"stream stalled":                                 "no event arrived for four times the longest pause of a regular stream",
	"stream broken off":                              "the stream ended early and could not be continued",
	"stream without events":                          "the stream ended before its first event",
	"event out of order":                             "the backend server repeated events, or began before the event that the caller has",
	"continuation on other weights":                  "the stream would have continued on other weights than it began on",
	"no continuation":                                "the backend server answered the continuation of a stream with an error, or with something that is no stream",
	"continuation without events":                    "the backend server sent a stream without events, but not the end of one",
	"continuation after a missing event":             "the backend server would have left out events",
	"continuation with an event without a number":    "the backend server sent events that cannot be compared with those that the caller has, or a text that is no event",
	"continuation with an error event":               "the backend server reported an error in the stream",
	"too many comments before the first event":       "the backend server sent comments instead of events",
	"answer with an encoded body":                    "the body of the response is encoded, which nobody asked for",
	"failure of the server":                          "the backend server responded with an error of its own",
	"time over":                                      "the caller's time limit or the timeout of the route expired",
	"caller left":                                    "the caller closed its connection",
}

// DescribeReason returns an explanation of a reason, or an empty string if the reason is
// unknown.
func DescribeReason(reason string) string { return reasonDescriptions[reason] }
