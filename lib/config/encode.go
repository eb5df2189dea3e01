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

// Canonical returns a copy whose lists are sorted by key, so that equal
// declarations have equal encodings.
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

// Encode returns the canonical encoding.
func (c *Config) Encode() ([]byte, error) { return encode(c.Canonical()) }

// Digest returns the digest of the canonical encoding. Each revision carries the
// digest of the state that it leads to, so that a replica detects a delta that
// was applied to another state.
func (c *Config) Digest() (model.Digest, error) {
	b, err := c.Encode()
	if err != nil {
		return model.Digest{}, err
	}
	return model.Sum(b), nil
}

// Decode reads an encoded configuration.
func Decode(data []byte) (*Config, error) {
	var c Config
	if err := msgstream.Unmarshal(data, &c); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return &c, nil
}

// encode writes fields by name and leaves out unset ones. A release that adds a
// field therefore agrees with the digests of an older one until operators use
// the field.
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

func sortedBy[T any](list []T, key func(T) string) []T {
	if len(list) == 0 {
		return nil
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}
