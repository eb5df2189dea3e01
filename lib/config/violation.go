package config

import (
	"fmt"
	"strings"
)

// Violation is one invalid value in a configuration.
type Violation struct {
	// Path identifies the value, for example "service drafts: timeout".
	Path string
	// Value is the declared value.
	Value string
	// Allowed describes the valid values.
	Allowed string
	// Line is the line in the declaration file, or 0 if unknown.
	Line int
}

// String formats the violation as one line.
func (v Violation) String() string {
	text := fmt.Sprintf("%s: %q is not allowed; allowed: %s", v.Path, v.Value, v.Allowed)
	if v.Line > 0 {
		return fmt.Sprintf("line %d: %s", v.Line, text)
	}
	return text
}

// InvalidError lists all violations in a configuration or request.
type InvalidError struct {
	Violations []Violation
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}
