package settings

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxLabelLength is the maximum length of a DNS label, which platforms use for names.
const maxLabelLength = 63

// validLabel reports whether s consists of lower-case letters, digits, hyphens and
// dots, starts with a letter or digit and has at most maxLabelLength bytes.
func validLabel(s string) bool {
	if len(s) > maxLabelLength {
		return false
	}
	for i, c := range s {
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '.') {
			return false
		}
	}
	return s != ""
}

// finish adds violations for unknown sections and keys, and returns all violations
// as an *InvalidError in the order of the file, or nil if there are none.
func (r *reader) finish() error {
	for _, s := range r.file.Sections() {
		keys, ok := r.known[s.Name()]
		if s.Name() == ini.DefaultSection {
			for _, key := range s.KeyStrings() {
				r.addViolation("", key, "key is before the first section", "a key inside one of the sections")
			}
			continue
		}
		if !ok {
			r.addViolation(s.Name(), "", "section is unknown", r.knownSections())
			continue
		}
		for _, key := range s.KeyStrings() {
			if !slices.Contains(keys, key) {
				r.addViolation(s.Name(), key, "key is unknown", strings.Join(keys, ", "))
			}
		}
	}
	if len(r.violations) == 0 {
		return nil
	}
	slices.SortStableFunc(r.violations, func(a, b Violation) int { return a.Line - b.Line })
	return &InvalidError{Violations: r.violations}
}

// knownSections returns the names of all known sections.
func (r *reader) knownSections() string {
	names := make([]string, 0, len(r.known))
	for name := range r.known {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
