package processes_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/lib/weights"
)

const docsDir = "../../docs"

var _ = Describe("The documentation", func() {
	tourFiles := func(pattern string) []string {
		files, err := filepath.Glob(filepath.Join(docsDir, "examples/tour", pattern))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		return files
	}

	// Guards against files of the tour that the programs reject.
	It("has a tour with valid settings and the right manifest digests", func() {
		for _, file := range tourFiles("entry-*.ini") {
			_, err := settings.LoadEntry(file)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, file := range tourFiles("agent-*.ini") {
			_, err := settings.LoadAgent(file)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, file := range tourFiles("deployment-*.ini") {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			declared, err := config.Parse(text)
			Expect(err).NotTo(HaveOccurred())
			for _, m := range declared.Models {
				Expect(m.Manifest).To(Equal(tourManifestDigest(m.Version)), file)
			}
		}
	})

	// Guards against an operations page that mentions events that do not exist.
	It("mentions only events of the catalogue", func() {
		text, err := os.ReadFile(filepath.Join(docsDir, "OPERATIONS.md"))
		Expect(err).NotTo(HaveOccurred())
		known := make(map[int]bool)
		for _, e := range eventlog.Catalogue() {
			known[e.Number] = true
		}
		for _, number := range regexp.MustCompile(`\b[1-7]\d{3}\b`).FindAllString(string(text), -1) {
			n, err := strconv.Atoi(number)
			Expect(err).NotTo(HaveOccurred())
			Expect(known).To(HaveKey(n))
		}
	})
})

// tourManifestDigest returns the digest of the manifest that the tour creates for a
// version. Its weights file holds the numbers from that of the version to 200000, one
// per line.
func tourManifestDigest(version string) model.Digest {
	first, err := strconv.Atoi(version[1:])
	Expect(err).NotTo(HaveOccurred())
	var data bytes.Buffer
	for i := first; i <= 200000; i++ {
		fmt.Fprintln(&data, i)
	}
	m, err := weights.BuildBytes(data.Bytes(), "weights/crest-"+version, model.Digest{}, chunkSize)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := m.Encode()
	Expect(err).NotTo(HaveOccurred())
	return model.Sum(encoded)
}
