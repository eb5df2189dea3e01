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
	// MaxBodyBytes is the largest request body that fits into one frame.
	MaxBodyBytes = 4 << 20
	// MaxEncodedBytes bounds the encoded configuration, so that a snapshot fits into
	// one frame between processes.
	MaxEncodedBytes = 3 << 20

	maxObjectName     = 1024
	maxModelBytes     = int64(4) << 40
	maxReplicas       = 10_000
	maxShare          = 1_000_000
	maxQueued         = 100_000
	maxPriority       = 1000
	maxOriginCopies   = 64
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = time.Hour
	minClaimRetention = time.Minute
	maxClaimRetention = 30 * 24 * time.Hour
	minFirstToken     = time.Millisecond
	maxFirstToken     = 10 * time.Minute
)

var (
	nameForm    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	versionForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	objectForm  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:@+-]*$`)
	idForm      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}$`)
)

const (
	nameAllowed    = "a-z, 0-9 and -, 1 to 63 characters, not starting with -"
	versionAllowed = "a-z, 0-9, . and -, 1 to 63 characters, starting with a-z or 0-9"
	idAllowed      = "A-Z, a-z, 0-9, ., _, :, @ and -, 1 to 128 characters, starting with a letter or digit"
)

// Validate checks a whole configuration and returns *InvalidError with every
// fault, or nil.
func (c *Config) Validate() error {
	v := &validator{config: c}
	v.deployment()
	v.models()
	v.placements()
	v.services()
	v.tenants()
	v.classes()
	if b, err := c.Encode(); err == nil && len(b) > MaxEncodedBytes {
		v.fault("configuration", "size", len(b), fmt.Sprintf("up to %d bytes when encoded", MaxEncodedBytes))
	}
	if len(v.faults) == 0 {
		return nil
	}
	return merry.Wrap(&InvalidError{Violations: v.faults})
}

func validateRequest(req Request) error {
	var faults []Violation
	if !req.DryRun || req.Operation != "" {
		if !idForm.MatchString(req.Operation) {
			faults = append(faults, Violation{Path: "operation", Value: req.Operation, Allowed: idAllowed})
		}
	}
	if !req.DryRun && !idForm.MatchString(req.Author) {
		faults = append(faults, Violation{Path: "author", Value: req.Author, Allowed: idAllowed})
	}
	if len(faults) > 0 {
		return merry.Wrap(&InvalidError{Violations: faults})
	}
	return req.Config.Validate()
}

func validateOperation(id string) error {
	if idForm.MatchString(id) {
		return nil
	}
	return merry.Wrap(&InvalidError{Violations: []Violation{{Path: "operation", Value: id, Allowed: idAllowed}}})
}

// validator collects faults.
type validator struct {
	config *Config
	faults []Violation
}

func (v *validator) fault(object, key string, value any, allowed string) {
	v.faults = append(v.faults, Violation{Path: path(object, key), Value: fmt.Sprint(value), Allowed: allowed})
}

func path(object, key string) string {
	if key == "" {
		return object
	}
	return object + ": " + key
}

func (v *validator) name(object, key, value string) {
	if !nameForm.MatchString(value) {
		v.fault(object, key, value, nameAllowed)
	}
}

func (v *validator) version(object, key, value string) {
	if !versionForm.MatchString(value) {
		v.fault(object, key, value, versionAllowed)
	}
}

func (v *validator) whole(object, key string, value, low, high int64) {
	if value < low || value > high {
		v.fault(object, key, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) duration(object, key string, value, low, high time.Duration) {
	if value < low || value > high {
		v.fault(object, key, value, fmt.Sprintf("%s to %s", low, high))
	}
}

// fraction refuses NaN as well, because no comparison with it holds.
func (v *validator) fraction(object, key string, value float64, allowZero bool) {
	if value >= 0 && value <= 1 && (allowZero || value > 0) {
		return
	}
	allowed := "over 0 and up to 1"
	if allowZero {
		allowed = "0 to 1"
	}
	v.fault(object, key, strconv.FormatFloat(value, 'g', -1, 64), allowed)
}

// duplicates reports keys that occur more than once.
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
		v.fault(kind, "", k, "each "+kind+" declared once")
	}
}
