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

// programs is set before the suite runs.
var programs binaries

var _ = BeforeSuite(func() {
	programs = build()
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
