package transfer

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/auburnbend/auburnbend/lib/weights"
)

// limits restricts transfers to their share of the instance's link. It is safe
// for concurrent use.
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

// newLimiter returns a limiter for a rate; a rate of 0 or less means unlimited.
// It allows a burst of one chunk, the unit in which peers send.
func newLimiter(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), weights.MaxChunkSize)
}

// setShare sets the share of the link's rates that transfers may use.
func (l *limits) setShare(share float64) {
	if l.uploadRate > 0 {
		l.upload.SetLimit(rate.Limit(l.uploadRate * share))
	}
	if l.downloadRate > 0 {
		l.download.SetLimit(rate.Limit(l.downloadRate * share))
	}
}

func (l *limits) waitUpload(ctx context.Context, n int) error { return l.upload.WaitN(ctx, n) }

func (l *limits) waitDownload(ctx context.Context, n int) error { return l.download.WaitN(ctx, n) }
