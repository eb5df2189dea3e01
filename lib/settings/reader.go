package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// reader reads typed values from a file and collects violations. Keys that none of
// its methods have read are unknown.
type reader struct {
	name       string
	file       *ini.File
	lines      map[keyName]int     // line numbers, starting at 1
	known      map[string][]string // keys read so far, by section
	violations []Violation
}

func newReader(name, text string) (*reader, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, []byte(text))
	if err != nil {
		return nil, &InvalidError{Violations: []Violation{{File: name, Section: "-", Problem: err.Error(), Allowed: "sections in brackets and key = value lines"}}}
	}
	r := &reader{name: name, file: file, known: make(map[string][]string)}
	lines, repeated := scanLines(text)
	r.lines = lines
	for _, p := range repeated {
		r.addViolation(p.section, p.key, "key is given more than once", "one value for each key")
	}
	return r, nil
}

// addViolation adds a violation of a key, or of a section if key is empty.
func (r *reader) addViolation(section, key, problem, allowed string) {
	line, ok := r.lines[keyName{section, key}]
	if !ok {
		line = r.lines[keyName{section: section}]
	}
	value := ""
	if key != "" {
		value = r.file.Section(section).Key(key).String()
	}
	r.violations = append(r.violations, Violation{
		File: r.name, Line: line, Section: section, Key: key, Value: value, Problem: problem, Allowed: allowed,
	})
}

// text returns the value of a key, or def if it is missing or empty, and marks the
// key as known.
func (r *reader) text(section, key, def string) string {
	r.known[section] = append(r.known[section], key)
	if value := r.value(section, key); value != "" {
		return value
	}
	return def
}

// value returns the value of a key, or an empty string if it is missing.
func (r *reader) value(section, key string) string {
	if !r.isSet(section, key) {
		return ""
	}
	return r.file.Section(section).Key(key).String()
}

// isSet reports whether the file contains a key.
func (r *reader) isSet(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}

// required returns the value of a key that must not be missing or empty.
func (r *reader) required(section, key, allowed string) string {
	value := r.text(section, key, "")
	if value == "" {
		r.addViolation(section, key, "required key is missing or empty", allowed)
	}
	return value
}

// label returns a required name; see validLabel.
func (r *reader) label(section, key string) string {
	const allowed = "a name of lower-case letters, digits, hyphens and dots, up to 63 characters"
	value := r.required(section, key, allowed)
	if value != "" && !validLabel(value) {
		r.addViolation(section, key, "value is not a name", allowed)
	}
	return value
}

// enum returns a value that must be one of the options.
func (r *reader) enum(section, key, def string, options ...string) string {
	value := r.text(section, key, def)
	if !slices.Contains(options, value) {
		r.addViolation(section, key, "value is unknown", strings.Join(options, ", "))
	}
	return value
}

// addrPort returns an IP address and port. Host names are rejected, because a
// process must not depend on a resolver to find its peers.
func (r *reader) addrPort(section, key, def string) string {
	const allowed = "an IP address and port such as 10.0.0.7:7400"
	value := r.text(section, key, def)
	if value == "" {
		r.addViolation(section, key, "required key is missing or empty", allowed)
		return value
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.addViolation(section, key, "value is not an IP address and port", allowed)
	}
	return value
}

// httpAddress returns an HTTP base address without a trailing slash.
func (r *reader) httpAddress(section, key string, required bool) string {
	const allowed = "an address such as http://10.0.0.9:9000"
	value := r.text(section, key, "")
	if value == "" {
		if required {
			r.addViolation(section, key, "required key is missing or empty", allowed)
		}
		return ""
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" {
		r.addViolation(section, key, "value is not an HTTP address", allowed)
	}
	return strings.TrimSuffix(value, "/")
}

// duration returns a duration from low to high, or def if the key is missing.
func (r *reader) duration(section, key string, def, low, high time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration such as 500ms, 30s or 2m from %s to %s", low, high)
	value, err := time.ParseDuration(r.text(section, key, def.String()))
	if err != nil {
		r.addViolation(section, key, "value is not a duration with a unit", allowed)
		return def
	}
	if value < low || value > high {
		r.addViolation(section, key, "value is out of range", allowed)
	}
	return value
}

// integer returns a whole number from low to high, or def if the key is missing.
func (r *reader) integer(section, key string, def, low, high int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	value, err := strconv.Atoi(r.text(section, key, strconv.Itoa(def)))
	if err != nil {
		r.addViolation(section, key, "value is not a whole number", allowed)
		return def
	}
	if value < low || value > high {
		r.addViolation(section, key, "value is out of range", allowed)
	}
	return value
}

// bytes returns a size from low to high, or def if the key is missing.
func (r *reader) bytes(section, key string, def, low, high Bytes) Bytes {
	allowed := fmt.Sprintf("a size with a unit, such as 64MiB, from %s to %s", low, high)
	value, err := ParseBytes(r.text(section, key, def.String()))
	if err != nil {
		r.addViolation(section, key, "value is not a size with a unit", allowed)
		return def
	}
	if value < low || value > high {
		r.addViolation(section, key, "value is out of range", allowed)
	}
	return value
}

// rate returns a required rate from low to high.
func (r *reader) rate(section, key string, low, high Rate) Rate {
	allowed := fmt.Sprintf("a rate with a unit, such as 20Mbit/s, from %s to %s", low, high)
	text := r.required(section, key, allowed)
	if text == "" {
		return 0
	}
	value, err := ParseRate(text)
	if err != nil {
		r.addViolation(section, key, "value is not a rate with a unit", allowed)
		return 0
	}
	if value < low || value > high {
		r.addViolation(section, key, "value is out of range", allowed)
	}
	return value
}

// names returns the non-empty elements of a comma-separated list.
func (r *reader) names(section, key string) []string {
	var names []string
	for name := range strings.SplitSeq(r.text(section, key, ""), ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
