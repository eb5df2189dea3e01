package node

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
)

var _ = Describe("settingsFile", func() {
	const text = `{node_name: edge-1, ip: 127.0.0.1, zone: north, region: n, zones: {north: n},
port_range: [7700, 7715], platform: {address: "127.0.0.1:1"}, bounds: {version_ms: 8000, retry_ratio: 0.2}}`
	var (
		path    string
		logs    *logBuffer
		signals chan os.Signal
		applied chan *platform.Settings
	)

	BeforeEach(func() {
		path = filepath.Join(GinkgoT().TempDir(), "node.yaml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		settings, err := platform.LoadSettings(path)
		Expect(err).NotTo(HaveOccurred())
		logs, signals, applied = &logBuffer{}, make(chan os.Signal), make(chan *platform.Settings, 1)
		file := newSettingsFile(path, settings, eventlog.OpenPlain(logs, clock.System{}))
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go file.watch(ctx, signals, func(s *platform.Settings) { applied <- s })
	})

	replaceAndSignal := func(old, replacement string) {
		Expect(os.WriteFile(path, []byte(strings.Replace(text, old, replacement, 1)), 0o600)).To(Succeed())
		signals <- syscall.SIGHUP
	}

	It("applies changed settings at a signal and logs their names", func() {
		// Guards against a signal that has no effect.
		replaceAndSignal("version_ms: 8000", "version_ms: 5000")
		var s *platform.Settings
		Eventually(applied).Should(Receive(&s))
		Expect(s.Bounds.VersionTime.Seconds()).To(Equal(5.0))
		Expect(logs.String()).To(ContainSubstring("event=1004"))
		Expect(logs.String()).To(ContainSubstring("Bounds.VersionTime"))
	})

	It("rejects invalid settings", func() {
		// Guards against a process that exits, or that applies only part of its settings.
		replaceAndSignal("retry_ratio: 0.2", "retry_ratio: -1")
		Eventually(logs.String).Should(ContainSubstring("event=1005"))
		Expect(logs.String()).To(ContainSubstring("bounds.retry_ratio"))
		Expect(applied).NotTo(Receive())
	})

	It("logs the signal even if nothing has changed", func() {
		signals <- syscall.SIGHUP
		Eventually(logs.String).Should(ContainSubstring("event=1004"))
		Expect(applied).NotTo(Receive())
	})
})
