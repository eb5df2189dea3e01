package transfer

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/auburnbend/auburnbend/lib/weights"
)

// limits keeps transfers within their share of the instance's link.
type limits struct {
	upload, download         *rate.Limiter
	uploadRate, downloadRate float64
}

func newLimits(upload, download float64) *limits {
	return &limits{
		upload: newLimiter(upload), download: newLimiter(download),
		uploadRate: upload, downloadRate: download,
	}
}

// newLimiter allows a burst of one chunk, the unit in which peers send.
func newLimiter(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), weights.MaxChunkSize)
}

// set applies a share of the link.
func (l *limits) set(share float64) {
	if l.uploadRate > 0 {
		l.upload.SetLimit(rate.Limit(l.uploadRate * share))
	}
	if l.downloadRate > 0 {
		l.download.SetLimit(rate.Limit(l.downloadRate * share))
	}
}

func (l *limits) waitUpload(ctx context.Context, n int) error { return l.upload.WaitN(ctx, n) }

func (l *limits) waitDownload(ctx context.Context, n int) error { return l.download.WaitN(ctx, n) }
