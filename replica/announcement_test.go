package replica

import (
	"testing"
	"time"
)

// TestAnnouncementsOfALargeRegion guards against announcements whose number grows with the
// square of the engines of a region, and against pieces that are announced late.
func TestAnnouncementsOfALargeRegion(t *testing.T) {
	for peers := range 300 {
		interval := announcementInterval(peers)
		if interval < announceInterval || interval > maxAnnounceInterval {
			t.Fatalf("%d peers: %v", peers, interval)
		}
		if rate := float64(peers) / interval.Seconds(); peers <= 40 && rate > 2*peersPerAnnounceInterval/announceInterval.Seconds() {
			t.Errorf("%d peers: %.0f announcements a second", peers, rate)
		}
	}
	if got := announcementInterval(17); got != 100*time.Millisecond {
		t.Errorf("17 peers: %v", got)
	}
	if got := announcementInterval(5); got != announceInterval {
		t.Errorf("5 peers: %v", got)
	}
}
