package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

var _ = Describe("RunGateway on an instance on which an address is in use", func() {
	DescribeTable("returns and stops listening on the others",
		// Guards against an entry that has ended and still answers callers: it refuses all of
		// them, as it never gets a configuration.
		func(first int, taken string) {
			subnet, reservation, err := loopback.ReserveSubnet(first)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(reservation.Close)
			store := platformtest.NewStore()
			DeferCleanup(store.Close)
			ip := fmt.Sprintf("127.%d.4.1", subnet)
			text := fmt.Sprintf(`{node_name: edge-1, ip: %[1]s, zone: north, region: n, zones: {north: n},
listen: {frontend: "%[1]s:8001", ready: "%[1]s:8002"}, port_range: [9000, 9100], platform: {address: "%[2]s"},
bounds: {grace_s: 8, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 100}}`, ip, store.Address())
			path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			settings, err := platform.LoadSettings(path)
			Expect(err).NotTo(HaveOccurred())
			ln, err := net.Listen("tcp", ip+taken)
			Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			err = RunGateway(ctx, Environment{Settings: settings, MetricsPort: 9001, Log: eventlog.Discard()})
			Expect(errors.Is(err, syscall.EADDRINUSE)).To(BeTrue(), "%v", err)
			for _, port := range []string{":8001", ":8002", ":9000", ":9001"} {
				if port == taken {
					continue
				}
				Eventually(func() error {
					ln, err := net.Listen("tcp", ip+port)
					if err != nil {
						return err
					}
					return ln.Close()
				}).Should(Succeed(), port)
			}
			Eventually(func() error {
				conn, err := net.ListenPacket("udp", ip+":9000")
				if err != nil {
					return err
				}
				return conn.Close()
			}).Should(Succeed())
		},
		Entry("callers", 201, ":8001"),
		Entry("readiness", 202, ":8002"),
		Entry("other instances", 203, ":9000"),
		Entry("metrics", 204, ":9001"),
	)
})
