package config

import "fmt"

// Difference is one changed value. Old is empty if the value was added, New if it
// was removed.
type Difference struct {
	// Object is the name of the section in the declaration file.
	Object string
	Key    string
	Old    string
	New    string
}

// String formats the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ [%s] %s = %s", d.Object, d.Key, d.New)
	case d.New == "":
		return fmt.Sprintf("- [%s] %s = %s", d.Object, d.Key, d.Old)
	default:
		return fmt.Sprintf("~ [%s] %s = %s (was %s)", d.Object, d.Key, d.New, d.Old)
	}
}

// Diff returns the differences between two configurations: first the changed and
// added values, then the removed ones, each in the order of the declaration file.
func Diff(from, to *Config) []Difference {
	type keyName struct{ object, key string }
	before := make(map[keyName]string)
	old := from.sections()
	for _, s := range old {
		for _, f := range s.fields {
			before[keyName{s.name, f.key}] = f.value
		}
	}
	var differences []Difference
	kept := make(map[keyName]bool)
	for _, s := range to.sections() {
		for _, f := range s.fields {
			p := keyName{s.name, f.key}
			kept[p] = true
			if was := before[p]; was != f.value {
				differences = append(differences, Difference{Object: s.name, Key: f.key, Old: was, New: f.value})
			}
		}
	}
	for _, s := range old {
		for _, f := range s.fields {
			if !kept[keyName{s.name, f.key}] {
				differences = append(differences, Difference{Object: s.name, Key: f.key, Old: f.value})
			}
		}
	}
	return differences
}
