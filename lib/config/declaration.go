package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// Format writes a configuration as the declaration file that operators edit.
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

// Parse reads a declaration file and validates it. It returns *InvalidError
// with every fault and its line. Left out keys get the defaults that
// docs/configuration.md lists; a file without [deployment] gets its defaults.
func Parse(data []byte) (*Config, error) {
	lines, faults := scanLines(data)
	if len(faults) > 0 {
		return nil, merry.Wrap(&InvalidError{Violations: faults})
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		// Versions contain dots, which would make a section inherit keys.
		ChildSectionDelimiter: "\x00",
	}, data)
	if err != nil {
		return nil, merry.Wrap(&InvalidError{Violations: []Violation{{Path: "file", Value: err.Error(), Allowed: "INI sections and keys"}}})
	}
	c := &Config{Deployment: defaultDeployment()}
	var read []Violation
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		r := newSectionReader(s)
		r.into(c)
		read = append(read, r.faults...)
	}
	if len(read) == 0 {
		err := c.Validate()
		var invalid *InvalidError
		if err == nil {
			return c.Canonical(), nil
		}
		if !errors.As(err, &invalid) {
			return nil, err
		}
		read = invalid.Violations
	}
	for i := range read {
		read[i].Line = lines.find(read[i].Path)
	}
	return nil, merry.Wrap(&InvalidError{Violations: read})
}

// lineIndex maps the path of a section or key to its line.
type lineIndex map[string]int

// find returns the line of a path, or of its section if the key was left out.
func (l lineIndex) find(name string) int {
	if line, ok := l[name]; ok {
		return line
	}
	object, _, _ := strings.Cut(name, ": ")
	return l[object]
}

// scanLines finds the lines of sections and keys. It refuses what the INI
// library would accept silently: repeated sections and keys, of which the last
// would win.
func scanLines(data []byte) (lineIndex, []Violation) {
	lines := make(lineIndex)
	var faults []Violation
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
				faults = append(faults, Violation{Path: "section", Value: text, Allowed: "[name]", Line: i + 1})
				continue
			}
			object = strings.TrimSpace(text[1:end])
			name = object
		case !isKey:
			faults = append(faults, Violation{Path: path(object, "line"), Value: text, Allowed: "key = value", Line: i + 1})
			continue
		default:
			name = path(object, strings.TrimSpace(name))
		}
		if lines[name] > 0 {
			faults = append(faults, Violation{Path: name, Value: strings.TrimSpace(value), Allowed: "each section and key once", Line: i + 1})
			continue
		}
		lines[name] = i + 1
	}
	return lines, faults
}
