package telemetry

// Source is where weight bytes were received from, used as a metric label.
type Source uint8

// Sources of weights.
const (
	SourceOrigin Source = iota
	SourceWeightStore
	SourcePeer
	SourceRemotePeer
	sourceCount
)

var sourceNames = [sourceCount]string{"origin", "weight_store", "peer", "remote_peer"}

// String returns the label value.
func (s Source) String() string {
	if s < sourceCount {
		return sourceNames[s]
	}
	return otherLabel
}
