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

const docs = "../../docs"

var _ = Describe("The pages", func() {
	tour := func(pattern string) []string {
		files, err := filepath.Glob(filepath.Join(docs, "examples/tour", pattern))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		return files
	}

	// Guards against a tour whose files the programs refuse.
	It("have a tour with valid settings and the digests of its weights", func() {
		for _, file := range tour("entry-*.ini") {
			_, err := settings.LoadEntry(file)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, file := range tour("agent-*.ini") {
			_, err := settings.LoadAgent(file)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, file := range tour("deployment-*.ini") {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			declared, err := config.Parse(text)
			Expect(err).NotTo(HaveOccurred())
			for _, m := range declared.Models {
				Expect(m.Manifest).To(Equal(tourManifest(m.Version)), file)
			}
		}
	})

	// Guards against an operations page that names events that do not exist.
	It("name events of the catalogue", func() {
		text, err := os.ReadFile(filepath.Join(docs, "OPERATIONS.md"))
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

// tourManifest returns the digest of the manifest that the tour makes of the
// lines from the number of the version to 200000.
func tourManifest(version string) model.Digest {
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
