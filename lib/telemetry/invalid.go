package telemetry

// Invalid says which kind of input was malformed. The set is closed.
type Invalid uint8

// Kinds of malformed input.
const (
	InvalidHeader Invalid = iota
	InvalidBody
	InvalidFrame
	InvalidManifest
	InvalidChunk
	InvalidConfig
	invalidKinds
)

var invalidNames = [invalidKinds]string{"header", "body", "frame", "manifest", "chunk", "config"}

// String returns the label value.
func (i Invalid) String() string {
	if i < invalidKinds {
		return invalidNames[i]
	}
	return otherName
}
