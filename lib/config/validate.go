package config

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// MaxBodyBytes is the maximum size of a request body, which must fit into one
	// frame between processes.
	MaxBodyBytes = 4 << 20
	// MaxEncodedBytes is the maximum size of an encoded configuration. A snapshot
	// must fit into one frame between processes.
	MaxEncodedBytes = 3 << 20

	maxObjectNameBytes = 1024
	maxModelBytes      = int64(4) << 40
	maxReplicas        = 10_000
	maxShare           = 1_000_000
	maxQueued          = 100_000
	maxPriority        = 1000
	maxOriginCopies    = 64
	minTimeout         = 10 * time.Millisecond
	maxTimeout         = time.Hour
	minClaimRetention  = time.Minute
	maxClaimRetention  = 30 * 24 * time.Hour
	minFirstToken      = time.Millisecond
	maxFirstToken      = 10 * time.Minute
)

var (
	namePattern       = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	versionPattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	objectNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:@+-]*$`)
	idPattern         = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}$`)
)

const (
	nameAllowed    = "a-z, 0-9 and -, 1 to 63 characters, not starting with -"
	versionAllowed = "a-z, 0-9, . and -, 1 to 63 characters, starting with a-z or 0-9"
	idAllowed      = "A-Z, a-z, 0-9, ., _, :, @ and -, 1 to 128 characters, starting with a letter or digit"
)

// Validate checks the configuration. It returns an *InvalidError that lists all
// violations, or nil.
func (c *Config) Validate() error {
	v := &validator{config: c}
	v.deployment()
	v.models()
	v.placements()
	v.services()
	v.tenants()
	v.classes()
	if b, err := c.Encode(); err == nil && len(b) > MaxEncodedBytes {
		v.addViolation("configuration", "size", len(b), fmt.Sprintf("up to %d bytes when encoded", MaxEncodedBytes))
	}
	if len(v.violations) == 0 {
		return nil
	}
	return merry.Wrap(&InvalidError{Violations: v.violations})
}

func validateRequest(req Request) error {
	var violations []Violation
	if !req.DryRun || req.Operation != "" {
		if !idPattern.MatchString(req.Operation) {
			violations = append(violations, Violation{Path: "operation", Value: req.Operation, Allowed: idAllowed})
		}
	}
	if !req.DryRun && !idPattern.MatchString(req.Author) {
		violations = append(violations, Violation{Path: "author", Value: req.Author, Allowed: idAllowed})
	}
	if len(violations) > 0 {
		return merry.Wrap(&InvalidError{Violations: violations})
	}
	return req.Config.Validate()
}

func validateOperation(id string) error {
	if idPattern.MatchString(id) {
		return nil
	}
	return merry.Wrap(&InvalidError{Violations: []Violation{{Path: "operation", Value: id, Allowed: idAllowed}}})
}

// validator collects the violations in a configuration.
type validator struct {
	config     *Config
	violations []Violation
}

func (v *validator) addViolation(object, key string, value any, allowed string) {
	v.violations = append(v.violations, Violation{Path: path(object, key), Value: fmt.Sprint(value), Allowed: allowed})
}

// path returns the path of a key, as in Violation.Path, or that of the object if
// key is empty.
func path(object, key string) string {
	if key == "" {
		return object
	}
	return object + ": " + key
}

func (v *validator) name(object, key, value string) {
	if !namePattern.MatchString(value) {
		v.addViolation(object, key, value, nameAllowed)
	}
}

func (v *validator) version(object, key, value string) {
	if !versionPattern.MatchString(value) {
		v.addViolation(object, key, value, versionAllowed)
	}
}

func (v *validator) intRange(object, key string, value, low, high int64) {
	if value < low || value > high {
		v.addViolation(object, key, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) durationRange(object, key string, value, low, high time.Duration) {
	if value < low || value > high {
		v.addViolation(object, key, value, fmt.Sprintf("%s to %s", low, high))
	}
}

// fraction checks that a value is between 0 and 1. It also rejects NaN, for which
// every comparison is false.
func (v *validator) fraction(object, key string, value float64, allowZero bool) {
	if value >= 0 && value <= 1 && (allowZero || value > 0) {
		return
	}
	allowed := "over 0 and up to 1"
	if allowZero {
		allowed = "0 to 1"
	}
	v.addViolation(object, key, strconv.FormatFloat(value, 'g', -1, 64), allowed)
}

// duplicates adds a violation for each key that occurs more than once.
func duplicates[T any](v *validator, kind string, list []T, key func(T) string) {
	seen := make(map[string]int, len(list))
	for _, item := range list {
		seen[key(item)]++
	}
	var repeated []string
	for k, n := range seen {
		if n > 1 {
			repeated = append(repeated, k)
		}
	}
	slices.Sort(repeated)
	for _, k := range repeated {
		v.addViolation(kind, "", k, "each "+kind+" declared once")
	}
}
