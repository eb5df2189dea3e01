package settings

import (
	"fmt"
	"strings"
)

// Violation is one error in a settings file.
type Violation struct {
	File string
	// Line is the line of the key, or that of the section if the file does not
	// contain the key. It is 0 if the file contains neither.
	Line    int
	Section string
	// Key is empty if the violation concerns the whole section.
	Key   string
	Value string
	// Problem describes what is wrong.
	Problem string
	// Allowed describes the valid values.
	Allowed string
}

// String formats the violation as one line.
func (v Violation) String() string {
	var b strings.Builder
	b.WriteString(v.File)
	if v.Line > 0 {
		fmt.Fprintf(&b, ":%d", v.Line)
	}
	fmt.Fprintf(&b, ": [%s]", v.Section)
	if v.Key != "" {
		fmt.Fprintf(&b, " %s", v.Key)
	}
	if v.Value != "" {
		fmt.Fprintf(&b, " = %q", v.Value)
	}
	fmt.Fprintf(&b, ": %s", v.Problem)
	if v.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", v.Allowed)
	}
	return b.String()
}

// InvalidError lists all violations in a settings file.
type InvalidError struct {
	Violations []Violation
}

// Error returns one violation per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}
