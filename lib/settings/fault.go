package settings

import (
	"fmt"
	"strings"
)

// Violation is one thing that is wrong with a settings file.
type Violation struct {
	File string
	// Line is 0 when the fault is a missing key.
	Line    int
	Section string
	// Key is empty when the whole section is at fault.
	Key   string
	Value string
	// Problem says what is wrong.
	Problem string
	// Allowed says what would be accepted.
	Allowed string
}

// String returns the fault on one line.
func (f Violation) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	fmt.Fprintf(&b, ": [%s]", f.Section)
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, " = %q", f.Value)
	}
	fmt.Fprintf(&b, ": %s", f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// InvalidError lists every fault of a file.
type InvalidError struct {
	Violations []Violation
}

// Error returns one fault per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, f := range e.Violations {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
