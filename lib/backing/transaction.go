package backing

// Condition is the precondition of a write.
type Condition uint8

const (
	// Always applies the write unconditionally.
	Always Condition = iota
	// IfAbsent applies the write only if the row does not exist.
	IfAbsent
	// IfVersion applies the write only if the row's version equals Write.Version.
	IfVersion
)

// Write puts or deletes one row. Version is used with IfVersion only.
type Write struct {
	Table     string    `json:"table"`
	Key       string    `json:"key"`
	Condition Condition `json:"condition"`
	Version   uint64    `json:"version"`
	Value     []byte    `json:"value"`
	Delete    bool      `json:"delete"`
}

// Transaction is a list of writes that are applied atomically.
type Transaction struct {
	Writes []Write `json:"writes"`
}
