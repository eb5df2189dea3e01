package settings

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxLabel is the length limit of a DNS label, which platforms use for names.
const maxLabel = 63

func validLabel(s string) bool {
	if len(s) > maxLabel {
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

// finish reports sections and keys that nothing asked for, and returns all
// faults in the order of the file.
func (r *reader) finish() error {
	for _, s := range r.file.Sections() {
		keys, ok := r.known[s.Name()]
		if s.Name() == ini.DefaultSection {
			for _, key := range s.KeyStrings() {
				r.fault("", key, "key stands before the first section", "a key inside one of the sections")
			}
			continue
		}
		if !ok {
			r.fault(s.Name(), "", "section is unknown", r.sections())
			continue
		}
		for _, key := range s.KeyStrings() {
			if !slices.Contains(keys, key) {
				r.fault(s.Name(), key, "key is unknown", strings.Join(keys, ", "))
			}
		}
	}
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Violation) int { return a.Line - b.Line })
	return &InvalidError{Violations: r.faults}
}

func (r *reader) sections() string {
	names := make([]string, 0, len(r.known))
	for name := range r.known {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
