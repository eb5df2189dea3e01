package processes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes")
}

// built are the paths of the programs.
var built binaries

var _ = BeforeSuite(func() {
	built = build()
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
