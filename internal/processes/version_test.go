package processes_test

import (
	"math/rand"
	"os"
	"path/filepath"

	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/standin/engine"
)

const (
	modelBytes = 1 << 20
	// chunkSize divides the weights into 16 chunks, so that agents fetch some from
	// each other.
	chunkSize     = 64 << 10
	chunkSizeText = "64KiB"
)

// version is a published version of the model.
type version struct {
	name string
	// declarationLines holds the lines that auburnctl prints for the declaration file.
	declarationLines string
	weights          model.Weights
	// content is the digest in the answers of an engine that has loaded this version.
	content model.Digest
}

func (v version) object() string { return "weights/crest-" + v.name }

func (v version) manifestObject() string { return "manifests/crest-" + v.name }

// publish creates random weights and, with auburnctl, their manifest, and uploads
// both to the origin.
func (f *fleet) publish(name string, seed int64) version {
	v := version{name: name}
	data := make([]byte, modelBytes)
	rand.New(rand.NewSource(seed)).Read(data)
	file := filepath.Join(f.dir, name+".weights")
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	out := filepath.Join(f.dir, name+".manifest")
	v.declarationLines = f.mustCtl("manifest", "create", file, "--object", v.object(), "--out", out, "--chunk-size", chunkSizeText)
	encoded, err := os.ReadFile(out)
	Expect(err).NotTo(HaveOccurred())
	f.platform.putObject(v.object(), data)
	f.platform.putObject(v.manifestObject(), encoded)
	m, err := weights.BuildBytes(data, v.object(), model.Digest{}, chunkSize)
	Expect(err).NotTo(HaveOccurred())
	var chunks []model.Digest
	for _, c := range m.Chunks {
		chunks = append(chunks, c.Digest)
	}
	v.weights = model.Weights{Base: model.Sum(encoded)}
	v.content = engine.ContentDigest(chunks...)
	f.versions = append(f.versions, v)
	return v
}
