package eventlog

// Events 4000 to 4999: requests.
var (
	RequestNotRun        = Event{4001, Info, "request was not run", "Nothing unless frequent; the reason names the limit."}
	RequestUnknown       = Event{4002, Warn, "request may have run but has no complete response", "Nothing; the caller was told."}
	RequestInvalid       = Event{4003, Info, "request is malformed", "Nothing; the caller was told what is wrong and where."}
	CallerBeyondMemory   = Event{4004, Warn, "request refused because the memory for bodies is used up", "Nothing unless it lasts; then add entries or memory, or find the tenant that sends long bodies."}
	ResponseBeyondMemory = Event{4005, Warn, "response given up because the memory for responses was used up until the deadline", "Add entries or memory, or have callers of long responses ask for streams."}
	QueueOverloaded      = Event{4006, Warn, "pool is overloaded: requests are refused, the least urgent classes first", "Nothing unless it lasts; then add instances of the pool."}
	QueueRelieved        = Event{4007, Info, "pool is no longer overloaded", "Nothing."}
	GateMismatch         = Event{4101, Info, "agent refused a request for weights that are not loaded", "Nothing unless it lasts beyond a rollout."}
	AgentBeyondMemory    = Event{4102, Warn, "agent refused a request because its memory for bodies is used up", "Nothing unless it lasts; then raise the memory limit of the agent."}
	ClaimWithoutResult   = Event{4301, Warn, "idempotency key is claimed but has no result", "Ask the service whether the request ran."}
	ClaimReleased        = Event{4302, Info, "claim released: request proved not run", "Nothing."}
	RequestQuarantined   = Event{4401, Warn, "request quarantined: backend servers crashed while running it", "Find the content by its fingerprint and inform its caller."}
	BackendServerCrashed = Event{4402, Warn, "backend server crashed with requests in flight", "Nothing unless it repeats."}
	RateLimitChanged     = Event{4403, Info, "backend server of the agent stated or lifted a limit of its request rate", "Nothing unless it repeats; then add servers of the service."}
)

var requestEvents = []Event{
	RequestNotRun,
	RequestUnknown,
	RequestInvalid,
	CallerBeyondMemory,
	ResponseBeyondMemory,
	QueueOverloaded,
	QueueRelieved,
	GateMismatch,
	AgentBeyondMemory,
	ClaimWithoutResult,
	ClaimReleased,
	RequestQuarantined,
	BackendServerCrashed,
	RateLimitChanged,
}
