package settings

import "strings"

// position is the place of a key in the file.
type position struct {
	section, key string
}

// scan finds the line of each section and key, which the INI library does not
// keep, and the keys that are given twice, of which it silently takes the last.
func scan(text string) (lines map[position]int, repeated []position) {
	lines = make(map[position]int)
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			lines[position{section: section}] = i + 1
			continue
		}
		end := strings.IndexAny(line, "=:")
		if end < 0 {
			end = len(line)
		}
		p := position{section, strings.TrimSpace(line[:end])}
		if _, seen := lines[p]; seen {
			repeated = append(repeated, p)
		}
		lines[p] = i + 1
	}
	return lines, repeated
}
