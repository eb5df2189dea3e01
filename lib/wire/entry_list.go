package wire

// EntryList tells an agent the peer addresses of the entries of its failure
// domain, from which it picks trackers by rendezvous hashing.
type EntryList struct {
	Addresses []string `msgpack:"a"`
	// Rank is the position of the agent among the instances of its pool and
	// failure domain. A placement with N replicas is for ranks 0 to N-1.
	Rank int `msgpack:"r"`
}

// Type returns TypeEntryList.
func (*EntryList) Type() Type { return TypeEntryList }
