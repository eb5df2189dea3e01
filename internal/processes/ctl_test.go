package processes_test

import (
	"os/exec"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// Exit codes of auburnctl, as its help text lists them.
const (
	exitConflict    = 4
	exitUnknown     = 5
	exitUnavailable = 6
)

// operatorName is the name in the operator's certificate.
const operatorName = "ops.test"

// ctl runs auburnctl with the addresses of all entries and returns its exit code and
// its output on stdout and stderr.
func (f *fleet) ctl(arguments ...string) (int, string) {
	session := f.startCtl(arguments...)
	Eventually(session).WithTimeout(2 * settleTime).Should(gexec.Exit())
	return session.ExitCode(), string(session.Out.Contents()) + string(session.Err.Contents())
}

func (f *fleet) startCtl(arguments ...string) *gexec.Session {
	flags := []string{"--author", "ops"}
	for _, e := range f.entries {
		flags = append(flags, "--address", e.operators)
	}
	if f.authority == nil {
		flags = append(flags, "--plaintext")
	} else {
		files := f.certificate(operatorName)
		flags = append(flags, "--ca", files.CA, "--cert", files.Certificate, "--key", files.Key, "--server-name", "entry.test")
	}
	session, err := gexec.Start(exec.Command(programs.ctl, append(flags, arguments...)...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	return session
}

// mustCtl runs auburnctl, expects success and returns the output.
func (f *fleet) mustCtl(arguments ...string) string {
	code, out := f.ctl(arguments...)
	ExpectWithOffset(1, code).To(BeZero(), out)
	return out
}

// apply applies a declaration file and expects it to become the revision after the
// expected one.
func (f *fleet) apply(file string, expected int) {
	out := f.mustCtl("config", "apply", file, "--expect", strconv.Itoa(expected))
	ExpectWithOffset(1, out).To(ContainSubstring("accepted as revision %d,", expected+1))
}

// awaitRollout waits until auburnctl reports the rollout of a version as complete
// and all running agents of model engines serve it.
func (f *fleet) awaitRollout(v version) {
	f.mustCtl("rollout", "status", "--version", v.name, "--until-complete", "--interval", "200ms")
	f.awaitLive(v)
}

// awaitLive waits until exactly the running agents of model engines are live with v
// as their only version.
func (f *fleet) awaitLive(v version) {
	var want []string
	for _, a := range f.agents {
		if a.pool == draftPool && a.running() {
			want = append(want, string(a.instance.ID))
		}
	}
	EventuallyWithOffset(1, func() []string {
		var live []string
		for _, i := range f.instances() {
			if i.GetPool() == draftPool && i.GetState() == "live" && len(i.GetWeights()) == 1 && i.GetWeights()[0] == v.weights.String() {
				live = append(live, i.GetId())
			}
		}
		return live
	}).WithTimeout(settleTime).Should(ConsistOf(want))
}

func (f *fleet) instances() []*pb.Instance {
	m := &pb.InstancesResponse{}
	Expect(protojson.Unmarshal([]byte(f.mustCtl("instances", "-o", "json")), m)).To(Succeed())
	return m.GetInstances()
}
