package configsim_test

import (
	"bytes"
	"compress/flate"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
)

// alterMerged changes one field of a merged revision so that it still decodes,
// which a flipped bit in compressed data rarely does. It returns nil if the first
// revision is not a merged one.
func alterMerged(t *rapid.T, encoded [][]byte) [][]byte {
	revision, err := config.DecodeRevision(encoded[0])
	if err != nil || !revision.IsMerged() {
		return nil
	}
	switch rapid.IntRange(0, 3).Draw(t, "part") {
	case 0:
		revision.MergedDelta = deflate(t, config.Delta{Tenants: []config.Tenant{{Name: "team-9", Share: 7}}})
	case 1:
		revision.MergedDelta = deflate(t, config.Delta{RemoveTenants: []string{"team-9"}})
	case 2:
		revision.Digest[0] ^= 1
	default:
		revision.BaseNumber = 0
		revision.PreviousDigest[0] ^= 1
	}
	data, err := revision.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{data}
}

// foreignMerged returns a merged revision of another history. It starts at the
// revision number in force and results in a configuration that was never accepted.
// Its digests are consistent with its own history, so that only a check of the base
// digest can reject it.
func foreignMerged(t *rapid.T, view *config.View) [][]byte {
	next := view.Config.Canonical()
	next.Tenants[0].MaxQueued = 9999
	delta, err := config.NewDelta(view.Config, next)
	if err != nil {
		t.Fatal(err)
	}
	previous := config.Head{Number: view.Head.Number + 1, Digest: model.Sum([]byte("foreign"))}
	revision, err := config.NewRevision(previous, config.Change{Author: "foreign", Operation: "foreign", Delta: delta})
	if err != nil {
		t.Fatal(err)
	}
	base := model.Sum([]byte("foreign base"))
	revision.PreviousDigest, revision.BaseNumber, revision.BaseDigest = &previous.Digest, view.Head.Number, &base
	revision.MergedDelta = deflate(t, config.Delta{})
	data, err := revision.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{data}
}

func deflate(t *rapid.T, delta config.Delta) []byte {
	data, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}
