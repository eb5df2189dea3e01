package wire

// EntryList gives an agent the peer addresses of the entries in the sender's failure
// domain. The agent selects trackers from them by rendezvous hashing.
type EntryList struct {
	Addresses []string `msgpack:"a"`
	// Rank is the position of the agent among the instances of its pool and failure
	// domain. A placement with N replicas applies to ranks 0 to N-1.
	Rank int `msgpack:"r"`
}

// Type returns TypeEntryList.
func (*EntryList) Type() Type { return TypeEntryList }
