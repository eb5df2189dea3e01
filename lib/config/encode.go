package config

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// Canonical returns a copy with all lists sorted by key, so that equal
// configurations have equal encodings.
func (c *Config) Canonical() *Config {
	return &Config{
		Deployment: c.Deployment,
		Models:     sortedBy(c.Models, modelKey),
		Placements: sortedBy(c.Placements, placementKey),
		Services:   sortedBy(c.Services, serviceKey),
		Tenants:    sortedBy(c.Tenants, tenantKey),
		Classes:    sortedBy(c.Classes, classKey),
	}
}

// Encode returns the msgpack encoding of the canonical form.
func (c *Config) Encode() ([]byte, error) { return encode(c.Canonical()) }

// Digest returns the digest of the canonical encoding. Each revision carries the
// digest of its resulting configuration, so that a replica detects when a delta
// was applied to the wrong configuration.
func (c *Config) Digest() (model.Digest, error) {
	b, err := c.Encode()
	if err != nil {
		return model.Digest{}, err
	}
	return model.Sum(b), nil
}

// Decode decodes a configuration. It returns ErrMalformed for invalid data.
func Decode(data []byte) (*Config, error) {
	var c Config
	if err := msgstream.Unmarshal(data, &c); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return &c, nil
}

// encode encodes structs as maps by field name and omits empty fields. A release
// that adds a field therefore computes the same digests as an older one until
// operators use the field.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.SetOmitEmpty(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, merry.Wrap(err)
	}
	return buf.Bytes(), nil
}

// sortedBy returns a copy of list sorted by key, or nil if list is empty.
func sortedBy[T any](list []T, key func(T) string) []T {
	if len(list) == 0 {
		return nil
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}
