package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// Format returns a configuration in the format of the declaration file that
// operators edit.
func Format(c *Config) []byte {
	var buf bytes.Buffer
	for i, s := range c.sections() {
		if i > 0 {
			buf.WriteByte('\n')
		}
		buf.WriteString("[" + s.name + "]\n")
		for _, f := range s.fields {
			buf.WriteString(f.key + " = " + f.value + "\n")
		}
	}
	return buf.Bytes()
}

// Parse parses and validates a declaration file. On failure it returns an
// *InvalidError that lists all violations with their line numbers. Omitted keys,
// and an omitted [deployment] section, get the defaults that
// docs/configuration.md lists.
func Parse(data []byte) (*Config, error) {
	lines, syntax := scanLines(data)
	if len(syntax) > 0 {
		return nil, merry.Wrap(&InvalidError{Violations: syntax})
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		// The default delimiter is a dot, which occurs in versions and would
		// make sections inherit keys from one another.
		ChildSectionDelimiter: "\x00",
	}, data)
	if err != nil {
		return nil, merry.Wrap(&InvalidError{Violations: []Violation{{Path: "file", Value: err.Error(), Allowed: "INI sections and keys"}}})
	}
	c := &Config{Deployment: defaultDeployment()}
	var violations []Violation
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		r := newSectionReader(s)
		r.addTo(c)
		violations = append(violations, r.violations...)
	}
	if len(violations) == 0 {
		err := c.Validate()
		var invalid *InvalidError
		if err == nil {
			return c.Canonical(), nil
		}
		if !errors.As(err, &invalid) {
			return nil, err
		}
		violations = invalid.Violations
	}
	for i := range violations {
		violations[i].Line = lines.find(violations[i].Path)
	}
	return nil, merry.Wrap(&InvalidError{Violations: violations})
}

// lineIndex maps the path of a section or key to its line number, starting at 1.
type lineIndex map[string]int

// find returns the line of a path, or that of its section if the file does not
// contain the key.
func (l lineIndex) find(path string) int {
	if line, ok := l[path]; ok {
		return line
	}
	object, _, _ := strings.Cut(path, ": ")
	return l[object]
}

// scanLines returns the lines of all sections and keys. It reports lines that are
// neither, and repeated sections and keys, for which the INI library would
// silently use the last value.
func scanLines(data []byte) (lineIndex, []Violation) {
	lines := make(lineIndex)
	var violations []Violation
	object := ""
	for i, text := range strings.Split(string(data), "\n") {
		text = strings.TrimSpace(strings.TrimPrefix(text, "\ufeff"))
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		name, value, isKey := strings.Cut(text, "=")
		isSection := text[0] == '['
		switch {
		case isSection:
			end := strings.IndexByte(text, ']')
			if end < 0 {
				violations = append(violations, Violation{Path: "section", Value: text, Allowed: "[name]", Line: i + 1})
				continue
			}
			object = strings.TrimSpace(text[1:end])
			name = object
		case !isKey:
			violations = append(violations, Violation{Path: path(object, "line"), Value: text, Allowed: "key = value", Line: i + 1})
			continue
		default:
			name = path(object, strings.TrimSpace(name))
		}
		if lines[name] > 0 {
			violations = append(violations, Violation{Path: name, Value: strings.TrimSpace(value), Allowed: "each section and key once", Line: i + 1})
			continue
		}
		lines[name] = i + 1
	}
	return lines, violations
}
