package config

import (
	"fmt"
	"strings"
)

// Violation is one thing that is wrong with a configuration.
type Violation struct {
	// Path names the value, such as "service drafts: timeout".
	Path string
	// Value is what was declared.
	Value string
	// Allowed says what is accepted.
	Allowed string
	// Line is the line of the declaration file; 0 if there is none.
	Line int
}

// String returns the fault as one line.
func (f Violation) String() string {
	text := fmt.Sprintf("%s: %q is not allowed; allowed: %s", f.Path, f.Value, f.Allowed)
	if f.Line > 0 {
		return fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}

// InvalidError lists every fault of a configuration.
type InvalidError struct {
	Violations []Violation
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, f := range e.Violations {
		lines[i] = f.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}
