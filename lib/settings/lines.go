package settings

import "strings"

// keyName identifies a key, or a section if key is empty.
type keyName struct {
	section, key string
}

// scanLines returns the line of each section and key, which the INI library does not
// record, and the repeated keys, for which it silently uses the last value.
func scanLines(text string) (lines map[keyName]int, repeated []keyName) {
	lines = make(map[keyName]int)
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			lines[keyName{section: section}] = i + 1
			continue
		}
		end := strings.IndexAny(line, "=:")
		if end < 0 {
			end = len(line)
		}
		name := keyName{section, strings.TrimSpace(line[:end])}
		if _, seen := lines[name]; seen {
			repeated = append(repeated, name)
		}
		lines[name] = i + 1
	}
	return lines, repeated
}
