package distribute

import (
	"fmt"
	"time"
)

func (d *Downloader) Dump() string {
	s := fmt.Sprintf("tracked=%v heard=%v missing=%d queue=%d window=%d chunkTime=%v stall=%v dirty=%v peers=%d:", d.tracked, time.Since(d.heard), d.missing, len(d.queue), d.cfg.Window, d.chunkTime.value, d.stallAfter(), d.dirty, len(d.solo.peers))
	for _, id := range sortedKeys(d.active) {
		f := d.active[id]
		s += fmt.Sprintf(" [%s g%d r%d]", f.Source, f.grant&0xfffff, f.received)
	}
	return s
}
