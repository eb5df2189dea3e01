package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Message is the body of a frame.
type Message interface {
	// Type returns the frame type of the message.
	Type() Type
}

// ProtocolVersion is sent in Hello. Peers with another version are refused.
const ProtocolVersion = 1

// Role says what the sender of a Hello is.
type Role uint8

const (
	// RoleEntry is an entry daemon.
	RoleEntry Role = 1
	// RoleAgent is an agent daemon.
	RoleAgent Role = 2
)

// Hello opens a connection in both directions.
type Hello struct {
	Version  int            `msgpack:"v"`
	Role     Role           `msgpack:"r"`
	Identity model.Identity `msgpack:"i"`
	// Pool names the agent's group of instances; entries leave it empty.
	Pool string `msgpack:"p"`
}

// ConnectionReject says why a Hello was refused, before the connection closes.
type ConnectionReject struct {
	Reason string `msgpack:"r"`
}

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

// Heartbeat is sent every second in both directions.
type Heartbeat struct {
	Sequence       uint64       `msgpack:"s"`
	ConfigRevision uint64       `msgpack:"c"`
	ConfigDigest   model.Digest `msgpack:"d"`
	// ConfigAgeMillis is the time since the store confirmed, directly or through
	// peers, that ConfigRevision was the newest, in milliseconds.
	ConfigAgeMillis int64 `msgpack:"g"`
	Draining        bool  `msgpack:"x"`
	// Probe asks the receiver for a heartbeat at once.
	Probe bool `msgpack:"p,omitempty"`
	// Live holds the weights that the instance may serve; empty from entries.
	Live []model.Weights `msgpack:"w"`
	Load Load            `msgpack:"l"`
	// Role is the role of an agent's engine. The instance takes requests only
	// while it is mixed.
	Role model.Role `msgpack:"o,omitempty"`
}

// RequestStart hands one attempt of a request to an agent.
type RequestStart struct {
	Request   model.RequestID   `msgpack:"r"`
	Attempt   model.AttemptID   `msgpack:"a"`
	Tenant    model.Tenant      `msgpack:"t"`
	Class     model.Class       `msgpack:"c"`
	Service   model.Service     `msgpack:"s"`
	Weights   model.Weights     `msgpack:"w"`
	Finger    model.Fingerprint `msgpack:"f"`
	Remaining int64             `msgpack:"d"` // milliseconds until the deadline
	Hop       int               `msgpack:"h"`
	Priority  int               `msgpack:"p"`
	// Repeatable allows the agent to start the request again on its backend
	// server after a failure that may have run it.
	Repeatable  bool   `msgpack:"e"`
	ContentType string `msgpack:"y"`
	// Suspect says that the request was in flight when a backend server crashed.
	// The agent runs one suspect at a time.
	Suspect bool `msgpack:"u"`
	// IdempotencyKey is passed on to plain services that understand it.
	IdempotencyKey string `msgpack:"k"`
	Body           []byte `msgpack:"b"`
}

// RequestRefused proves that the backend server did not run the attempt.
type RequestRefused struct {
	Attempt          model.AttemptID `msgpack:"a"`
	Reason           outcome.Reason  `msgpack:"r"`
	RetryAfterMillis int64           `msgpack:"m"`
}

// ResponseFrame is one piece of an answer. Sequence numbers start at 0.
type ResponseFrame struct {
	Attempt  model.AttemptID `msgpack:"a"`
	Sequence uint64          `msgpack:"s"`
	Data     []byte          `msgpack:"d"`
}

// ResponseEnd closes an answer. Without it an answer is incomplete.
type ResponseEnd struct {
	Attempt     model.AttemptID `msgpack:"a"`
	Outcome     outcome.Outcome `msgpack:"o"`
	Reason      outcome.Reason  `msgpack:"r"`
	Status      int             `msgpack:"s"` // HTTP status of the backend server
	ContentType string          `msgpack:"y"`
	Frames      uint64          `msgpack:"n"`
	Digest      model.Digest    `msgpack:"d"` // over the data of all frames
}

// ResponseAck lets the agent free its replay buffer up to Next.
type ResponseAck struct {
	Attempt model.AttemptID `msgpack:"a"`
	Next    uint64          `msgpack:"n"`
}

// RequestCancel ends an attempt whose caller has gone.
type RequestCancel struct {
	Attempt model.AttemptID `msgpack:"a"`
}

// Reattach asks for an answer from a sequence number on, over a new connection.
type Reattach struct {
	Attempt model.AttemptID `msgpack:"a"`
	Next    uint64          `msgpack:"n"`
}

// CrashReport lists what was in flight when a backend server died.
type CrashReport struct {
	// Incarnation numbers the starts of the backend server that the agent saw.
	Incarnation uint64              `msgpack:"n"`
	InFlight    []model.Fingerprint `msgpack:"f"`
}

// Suspect counts the backend servers that died with a request in flight.
type Suspect struct {
	Finger  model.Fingerprint  `msgpack:"f"`
	Crashes []model.InstanceID `msgpack:"c"`
	// Incidents are the same crashes one by one, so that updates merge in any
	// order and a success clears exactly the crashes before it.
	Incidents []Incident `msgpack:"i"`
	// Runs say which entries run the request or are about to.
	Runs []SuspectRun `msgpack:"r"`
}

// Incident is one crash of a backend server with a suspect in flight.
type Incident struct {
	Instance    model.InstanceID `msgpack:"i"`
	Generation  model.Generation `msgpack:"g"`
	Incarnation uint64           `msgpack:"n"`
	// Cleared is set for good once a later run of the request succeeded.
	Cleared bool `msgpack:"c"`
	// AgeMillis is the time since the crash was first reported, in milliseconds.
	AgeMillis int64 `msgpack:"a"`
}

// SuspectRun is one entry's state of running a suspect. The highest sequence
// number of an entry's generation counts.
type SuspectRun struct {
	Entry      model.InstanceID   `msgpack:"e"`
	Generation model.Generation   `msgpack:"g"`
	Sequence   uint64             `msgpack:"s"`
	Intends    bool               `msgpack:"x"`
	Running    []model.InstanceID `msgpack:"r"`
}

// SuspectUpdate passes crash attribution between entries.
type SuspectUpdate struct {
	Suspects []Suspect           `msgpack:"s"`
	Cleared  []model.Fingerprint `msgpack:"c"`
}

// ConfigFetch asks for the configuration after a revision.
type ConfigFetch struct {
	After uint64 `msgpack:"a"`
}

// ConfigDelta carries encoded revisions in order; lib/config reads them.
type ConfigDelta struct {
	Revisions [][]byte `msgpack:"r"`
}

// EntryList tells an agent the peer addresses of the entries of its failure
// domain, from which it picks trackers by rendezvous hashing.
type EntryList struct {
	Addresses []string `msgpack:"a"`
	// Rank is the position of the agent among the instances of its pool and
	// failure domain. A placement with N replicas is for ranks 0 to N-1.
	Rank int `msgpack:"r"`
}

// Announce tells a tracker what an agent holds of a manifest.
type Announce struct {
	Manifest model.Digest `msgpack:"m"`
	// Have is a bitmap of verified chunks, least significant bit first.
	Have []byte `msgpack:"h"`
	// Failed lists grants that the agent gives up, with what went wrong.
	Failed []GrantFailure `msgpack:"f"`
	// Uploads is the number of chunks that the agent is sending now.
	Uploads int `msgpack:"u"`
	// Slots is the number of further chunks that the agent wants assigned.
	Slots int `msgpack:"s"`
	// Active is the number of assignments that the agent has not finished. The
	// tracker subtracts from Slots those that crossed with this message.
	Active int `msgpack:"a"`
	// Sequence numbers the announcements on one connection from 1.
	Sequence uint64 `msgpack:"q"`
}

// GrantFailure reports an assignment that did not deliver its chunk.
type GrantFailure struct {
	Grant   uint64 `msgpack:"g"`
	Corrupt bool   `msgpack:"c"`
	// Busy means that the source had no free slot or asked to come back later,
	// which says nothing against the link to it.
	Busy bool `msgpack:"b"`
}

// Assignment tells an agent where to take one chunk from.
type Assignment struct {
	Grant uint64 `msgpack:"g"`
	Chunk int    `msgpack:"c"`
	// Source is the peer address of an agent; it is empty for the origin.
	Source string `msgpack:"s"`
	// DeadlineMillis is the time until the assignment expires, in milliseconds.
	DeadlineMillis int64 `msgpack:"d"`
}

// Assign answers an Announce.
type Assign struct {
	Manifest    model.Digest `msgpack:"m"`
	Assignments []Assignment `msgpack:"a"`
	// RetryMillis is the time after which to announce again at the latest.
	RetryMillis int64 `msgpack:"r"`
	// Peers are addresses of agents that hold chunks, for use without a tracker.
	Peers []string `msgpack:"p"`
	// Sequence is that of the last Announce on the connection. Assignments are
	// also pushed, so only this shows that announcements arrive.
	Sequence uint64 `msgpack:"q"`
}

// ManifestFetch asks for an encoded manifest.
type ManifestFetch struct {
	Manifest model.Digest `msgpack:"m"`
}

// ManifestData carries an encoded manifest.
type ManifestData struct {
	Manifest model.Digest `msgpack:"m"`
	Data     []byte       `msgpack:"d"`
}

// ManifestRefused says that the peer does not have the manifest.
type ManifestRefused struct {
	Manifest model.Digest `msgpack:"m"`
}

// ChunkFetch asks a peer for one chunk by digest.
type ChunkFetch struct {
	Request uint64       `msgpack:"q"`
	Chunk   model.Digest `msgpack:"c"`
}

// ChunkData answers a ChunkFetch.
type ChunkData struct {
	Request uint64 `msgpack:"q"`
	Data    []byte `msgpack:"d"`
}

// ChunkRefused answers a ChunkFetch that the peer does not serve now.
type ChunkRefused struct {
	Request uint64 `msgpack:"q"`
	// Busy is true when the peer has the chunk but no free upload slot.
	Busy bool `msgpack:"b"`
}

// Phase is the state of a version on an instance.
type Phase uint8

// Phases of a version on an instance, in order.
const (
	PhaseIdle Phase = iota
	PhaseFetching
	PhaseVerified
	PhaseQuiescing
	PhaseLoading
	PhaseLive
	PhaseFailed
)

// String returns the name that tables and metrics show.
func (p Phase) String() string {
	names := [...]string{"idle", "fetching", "verified", "quiescing", "loading", "live", "failed"}
	if int(p) < len(names) {
		return names[p]
	}
	return "invalid"
}

// TransferStatus tells a tracker how far an instance is.
type TransferStatus struct {
	Manifest    model.Digest `msgpack:"m"`
	Phase       Phase        `msgpack:"p"`
	OriginBytes int64        `msgpack:"o"`
	PeerBytes   int64        `msgpack:"b"`
	TotalBytes  int64        `msgpack:"t"`
}

// LoadPermitFetch asks the tracker whether the instance may leave the version
// that it serves and load another.
type LoadPermitFetch struct {
	Manifest model.Digest `msgpack:"m"`
}

// LoadPermit answers a LoadPermitFetch.
type LoadPermit struct {
	Manifest    model.Digest `msgpack:"m"`
	Granted     bool         `msgpack:"g"`
	RetryMillis int64        `msgpack:"r"`
	// Number and ExpiryMillis belong to a granted permit: its holder checks the
	// expiry on its monotonic clock before it stops admitting requests.
	Number       uint64 `msgpack:"n"`
	ExpiryMillis int64  `msgpack:"e"`
	// Reason says why no permit was given.
	Reason string `msgpack:"w"`
}

// HolderSummary tells the tracker of another failure domain which of its agents
// hold which chunks, so that chunks can be forwarded between domains.
type HolderSummary struct {
	Manifest model.Digest   `msgpack:"m"`
	Location model.Location `msgpack:"l"`
	Holders  []Holder       `msgpack:"h"`
}

// Holder is one agent in a HolderSummary.
type Holder struct {
	Address string `msgpack:"a"`
	// Have is a bitmap of verified chunks, least significant bit first.
	Have []byte `msgpack:"h"`
}

// RolloutFetch asks an entry for what its trackers know.
type RolloutFetch struct{}

// RolloutReport lists the instances that a tracker knows.
type RolloutReport struct {
	Instances []InstanceStatus `msgpack:"i"`
}

// InstanceStatus is one instance in a RolloutReport.
type InstanceStatus struct {
	Instance model.InstanceID    `msgpack:"i"`
	Domain   model.FailureDomain `msgpack:"d"`
	Status   TransferStatus      `msgpack:"s"`
}
