package replica

import (
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

// entryLoad is the work that an entry has placed on the engine.
type entryLoad struct {
	receivedAt    time.Time
	sequence      peerlink.SenderSequence
	prefillTokens int
}
