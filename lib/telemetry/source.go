package telemetry

// Source says where bytes of weights came from. The set is closed.
type Source uint8

// Sources of weights.
const (
	SourceOrigin Source = iota
	SourceWeightStore
	SourcePeer
	SourceRemotePeer
	sources
)

var sourceNames = [sources]string{"origin", "weight_store", "peer", "remote_peer"}

// String returns the label value.
func (s Source) String() string {
	if s < sources {
		return sourceNames[s]
	}
	return otherName
}
