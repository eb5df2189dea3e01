package telemetry

// InputKind is the kind of a malformed input, used as a metric label.
type InputKind uint8

// Kinds of input.
const (
	InputHeader InputKind = iota
	InputBody
	InputFrame
	InputManifest
	InputChunk
	InputConfig
	inputKindCount
)

var inputKindNames = [inputKindCount]string{"header", "body", "frame", "manifest", "chunk", "config"}

// String returns the label value.
func (i InputKind) String() string {
	if i < inputKindCount {
		return inputKindNames[i]
	}
	return otherLabel
}
