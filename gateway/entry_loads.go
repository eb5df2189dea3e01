package gateway

import "time"

const (
	// entryLoadInterval is how long a load that was sent to an agent need not be sent
	// again. It is short against the time for which agents keep it.
	entryLoadInterval = time.Second
	// maxEntryLoads is the number of agents above which old loads are dropped.
	maxEntryLoads = 256
)

// entryLoads remembers the last load that this entry has sent to each agent. The load
// consists of the prompt tokens whose responses have not started, which do not change
// when a request ends. It is not safe for concurrent use.
type entryLoads struct {
	sent map[string]sentLoad
}

type sentLoad struct {
	prefillTokens int
	at            time.Time
}

func newEntryLoads() *entryLoads { return &entryLoads{sent: make(map[string]sentLoad)} }

// changed records that a load is about to be sent to the agent of a server, and reports
// whether that is necessary.
func (l *entryLoads) changed(server string, prefillTokens int, now time.Time) bool {
	last, known := l.sent[server]
	if known && last.prefillTokens == prefillTokens && now.Sub(last.at) < entryLoadInterval {
		return false
	}
	if !known && len(l.sent) >= maxEntryLoads {
		for address, load := range l.sent {
			if now.Sub(load.at) >= entryLoadInterval {
				delete(l.sent, address)
			}
		}
	}
	l.sent[server] = sentLoad{prefillTokens: prefillTokens, at: now}
	return true
}
