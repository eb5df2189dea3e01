package attempt

// Action is what the entry does next for a request.
type Action uint8

const (
	// ActionWait waits for the next event. It is the zero value.
	ActionWait Action = iota
	// ActionDispatch picks an instance, sends a RequestStart under a new attempt
	// id and reports Dispatched, or NotAdmitted when none can be picked.
	ActionDispatch
	// ActionReattach sends Reattach for Step.Attempt and Step.Next over a live
	// connection to the same generation of the agent and reports Reattached or
	// ReattachFailed.
	ActionReattach
	// ActionFinish gives the caller its final answer now.
	ActionFinish
	// ActionRecord follows a finish with Step.Settling set: the attempt's fate is
	// now known. The claim of the request is completed or, for NotRun, released.
	ActionRecord
)

// String returns the name that logs and traces use.
func (a Action) String() string {
	names := [...]string{"wait", "dispatch", "reattach", "finish", "record"}
	if int(a) < len(names) {
		return names[a]
	}
	return "invalid"
}
