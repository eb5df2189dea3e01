package model

import (
	"encoding/hex"

	"github.com/ansel1/merry/v2"
	"github.com/zeebo/blake3"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3-256 hash. It identifies chunks, manifests and
// configuration revisions.
type Digest [DigestSize]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest { return blake3.Sum256(data) }

// ParseDigest parses the hexadecimal form that String returns.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil {
		return d, merry.Prependf(err, "digest %q", s)
	}
	if len(b) != DigestSize {
		return d, merry.Errorf("digest %q has %d bytes, want %d", s, len(b), DigestSize)
	}
	copy(d[:], b)
	return d, nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first eight hexadecimal digits, for logs and tables.
func (d Digest) Short() string { return hex.EncodeToString(d[:4]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText implements encoding.TextMarshaler with the hexadecimal form.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

// MarshalBinary returns the 32 bytes, or none for an unset digest. The msgpack codec
// prefers it over MarshalText, which would double the size of every digest in a frame.
// Unset digests are empty because most heartbeats name no adapter.
func (d Digest) MarshalBinary() ([]byte, error) {
	if d.IsZero() {
		return []byte{}, nil
	}
	return d[:], nil
}

// UnmarshalBinary parses the form that MarshalBinary returns.
func (d *Digest) UnmarshalBinary(data []byte) error {
	switch len(data) {
	case 0:
		*d = Digest{}
	case DigestSize:
		copy(d[:], data)
	default:
		return merry.Errorf("digest has %d bytes, want %d or none", len(data), DigestSize)
	}
	return nil
}
