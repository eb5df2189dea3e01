package attempt

// Action is what the entry must do next for a request.
type Action uint8

const (
	// ActionWait waits for the next event. It is the zero value.
	ActionWait Action = iota
	// ActionDispatch selects an instance and sends it a RequestStart with a new
	// attempt ID. The entry then reports Dispatched, or NotAdmitted if no
	// instance is available.
	ActionDispatch
	// ActionReattach sends Reattach with Step.Attempt and Step.NextSequence over
	// a live connection to the same generation of the agent. The entry then
	// reports Reattached or ReattachFailed.
	ActionReattach
	// ActionFinish sends the caller its final response.
	ActionFinish
	// ActionRecord follows an ActionFinish with Step.OutcomePending set, once the
	// outcome of the attempt is known. The entry completes the claim of the
	// request or, for NotRun, releases it.
	ActionRecord
)

// String returns the name used in logs and traces.
func (a Action) String() string {
	names := [...]string{"wait", "dispatch", "reattach", "finish", "record"}
	if int(a) < len(names) {
		return names[a]
	}
	return "invalid"
}
