package deployment_test

import (
	"context"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// startLive starts a deployment that is closed at the end of the spec, with a staging
// directory of its own, and waits until a version is live on all its agents.
func startLive(ctx context.Context, o deployment.Options) (*deployment.Deployment, deployment.Version) {
	o.StagingDir = GinkgoT().TempDir()
	d, err := deployment.Start(o, eventlog.New(log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter))))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	v, err := d.PublishAndPlace(ctx, "v1")
	Expect(err).NotTo(HaveOccurred())
	Expect(d.WaitLive(ctx, v, 50*time.Millisecond, nil)).To(Succeed())
	return d, v
}
