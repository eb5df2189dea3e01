package backing

// Condition must hold for a write to be applied.
type Condition uint8

const (
	// Always applies the write whatever the row holds.
	Always Condition = iota
	// IfAbsent applies the write only when the row does not exist.
	IfAbsent
	// IfVersion applies the write only when the row's version equals Version.
	IfVersion
)

// Write puts or deletes one row.
type Write struct {
	Table     string    `json:"table"`
	Key       string    `json:"key"`
	Condition Condition `json:"condition"`
	Version   uint64    `json:"version"`
	Value     []byte    `json:"value"`
	Delete    bool      `json:"delete"`
}

// Transaction is a list of writes that are applied all or none.
type Transaction struct {
	Writes []Write `json:"writes"`
}
