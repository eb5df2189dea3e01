package config

import (
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/auburnbend/auburnbend/lib/model"
)

// sectionReader reads the keys of one section and collects violations.
type sectionReader struct {
	name string
	keys []string // in the order of the file
	// values holds the values that have not been read yet.
	values     map[string]string
	violations []Violation
}

func newSectionReader(s *ini.Section) *sectionReader {
	r := &sectionReader{name: s.Name(), values: make(map[string]string)}
	for _, k := range s.Keys() {
		r.keys = append(r.keys, k.Name())
		r.values[k.Name()] = k.Value()
	}
	return r
}

// addTo adds the declared object to a configuration. It adds a violation for each
// key that this kind of object does not have.
func (r *sectionReader) addTo(c *Config) {
	words := strings.Fields(r.name)
	kind := ""
	if len(words) > 0 {
		kind = words[0]
	}
	switch {
	case kind == "deployment" && len(words) == 1:
		c.Deployment = r.deployment()
	case kind == "model" && len(words) == 3:
		c.Models = append(c.Models, r.model(words[1], words[2]))
	case kind == "placement" && len(words) == 3:
		c.Placements = append(c.Placements, r.placement(words[1], model.FailureDomain(words[2])))
	case kind == "service" && len(words) == 2:
		c.Services = append(c.Services, r.service(model.Service(words[1])))
	case kind == "tenant" && len(words) == 2:
		c.Tenants = append(c.Tenants, r.tenant(model.Tenant(words[1])))
	case kind == "class" && len(words) == 2:
		c.Classes = append(c.Classes, r.class(model.Class(words[1])))
	default:
		r.violations = append(r.violations, Violation{
			Path: r.name, Value: r.name,
			Allowed: "[deployment], [model NAME VERSION], [placement POOL DOMAIN], [service NAME], [tenant NAME], [class NAME]",
		})
		return
	}
	for _, key := range r.keys {
		if _, unread := r.values[key]; unread {
			r.addViolation(key, r.values[key], "a key that ["+kind+"] has")
		}
	}
}

func (r *sectionReader) deployment() Deployment {
	d := defaultDeployment()
	r.float("time_weight", &d.TimeWeight)
	r.int("origin_copies", &d.OriginCopies)
	r.float("transfer_share", &d.TransferShare)
	r.duration("claim_retention", &d.ClaimRetention)
	return d
}

func (r *sectionReader) model(name, version string) Model {
	m := Model{Name: name, Version: version}
	if text, ok := r.take("manifest"); ok {
		digest, err := model.ParseDigest(text)
		if err != nil {
			r.addViolation("manifest", text, "the digest of a manifest, 64 hexadecimal digits")
		}
		m.Manifest = digest
	}
	r.text("manifest_object", &m.ManifestObject)
	r.text("base", &m.Base)
	r.text("base_version", &m.BaseVersion)
	r.bytes("bytes", &m.Bytes)
	return m
}

func (r *sectionReader) placement(pool string, domain model.FailureDomain) Placement {
	p := Placement{Pool: pool, FailureDomain: domain}
	r.text("model", &p.Model)
	r.text("version", &p.Version)
	r.int("replicas", &p.Replicas)
	r.int("min_live", &p.MinLive)
	role := ""
	r.text("role", &role)
	p.Role = model.ParseRole(role)
	return p
}

func (r *sectionReader) service(name model.Service) Service {
	s := Service{Name: name, Timeout: defaultTimeout, MaxBodyBytes: defaultMaxBodyBytes}
	kind := ""
	r.text("kind", &kind)
	s.Kind = ServiceKind(kind)
	r.text("model", &s.Model)
	r.text("version", &s.Version)
	r.text("pool", &s.Pool)
	r.bool("repeatable", &s.Repeatable)
	r.duration("timeout", &s.Timeout)
	r.bytes("max_body", &s.MaxBodyBytes)
	return s
}

func (r *sectionReader) tenant(name model.Tenant) Tenant {
	t := Tenant{Name: name, Share: defaultShare, MaxQueued: defaultMaxQueued, RetryShare: defaultRetryShare}
	r.int("share", &t.Share)
	r.int("max_queued", &t.MaxQueued)
	r.float("retry_share", &t.RetryShare)
	return t
}

func (r *sectionReader) class(name model.Class) Class {
	c := Class{Name: name, FirstToken: defaultFirstToken}
	r.int("priority", &c.Priority)
	r.duration("first_token", &c.FirstToken)
	return c
}

// take returns the value of a key and removes it from the unread ones.
func (r *sectionReader) take(key string) (string, bool) {
	text, ok := r.values[key]
	delete(r.values, key)
	return text, ok
}

// text sets a string if the file contains the key. The methods below do the same for
// other types.
func (r *sectionReader) text(key string, into *string) {
	if text, ok := r.take(key); ok {
		*into = text
	}
}

func (r *sectionReader) int(key string, into *int) {
	r.parse(key, "a whole number", func(text string) (err error) {
		*into, err = strconv.Atoi(text)
		return err
	})
}

func (r *sectionReader) float(key string, into *float64) {
	r.parse(key, "a number", func(text string) (err error) {
		*into, err = strconv.ParseFloat(text, 64)
		return err
	})
}

func (r *sectionReader) bool(key string, into *bool) {
	r.parse(key, "true or false", func(text string) (err error) {
		*into, err = strconv.ParseBool(text)
		return err
	})
}

func (r *sectionReader) duration(key string, into *time.Duration) {
	r.parse(key, "a duration with a unit, such as 500ms, 30s or 24h", func(text string) (err error) {
		*into, err = time.ParseDuration(text)
		return err
	})
}

func (r *sectionReader) bytes(key string, into *int64) {
	r.parse(key, bytesAllowed, func(text string) (err error) {
		*into, err = parseBytes(text)
		return err
	})
}

// parse reads a key, if the file contains it, and adds a violation if read returns
// an error.
func (r *sectionReader) parse(key, allowed string, read func(string) error) {
	if text, ok := r.take(key); ok {
		if read(text) != nil {
			r.addViolation(key, text, allowed)
		}
	}
}

func (r *sectionReader) addViolation(key, value, allowed string) {
	r.violations = append(r.violations, Violation{Path: path(r.name, key), Value: value, Allowed: allowed})
}
