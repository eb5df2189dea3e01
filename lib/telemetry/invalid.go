package telemetry

// InputKind says which kind of input was malformed. The set is closed.
type InputKind uint8

// Kinds of malformed input.
const (
	InputHeader InputKind = iota
	InputBody
	InputFrame
	InputManifest
	InputChunk
	InputConfig
	invalidKinds
)

var invalidNames = [invalidKinds]string{"header", "body", "frame", "manifest", "chunk", "config"}

// String returns the label value.
func (i InputKind) String() string {
	if i < invalidKinds {
		return invalidNames[i]
	}
	return otherName
}
