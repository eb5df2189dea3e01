package processes_test

import (
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// binaries holds the paths of the built programs.
type binaries struct {
	entry, agent, standins, ctl, gateway, replica string
}

func build() binaries {
	path := func(name string) string {
		binary, err := gexec.Build("github.com/auburnbend/auburnbend/cmd/" + name)
		Expect(err).NotTo(HaveOccurred())
		return binary
	}
	return binaries{
		entry: path("auburnbend-entry"), agent: path("auburnbend-agent"),
		standins: path("auburnbend-standins"), ctl: path("auburnctl"),
		gateway: path("auburnbend-gateway"), replica: path("auburnbend-replica"),
	}
}
