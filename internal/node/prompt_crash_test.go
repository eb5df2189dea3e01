package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// partCrashes is the number of servers that may crash before the part that crashes
	// them must be recognized.
	partCrashes = 5
	// maxLateArrivals is the maximum number of requests with the part that reach servers
	// more than stabilityTime after crash number partCrashes.
	maxLateArrivals = 3
	// judgedTime is how long sound requests must be answered, and minSoundRequests the
	// minimum number of them in that time.
	judgedTime       = 3 * time.Second
	minSoundRequests = 50
	// maxCrashTime is longer than it takes until no more servers may crash.
	maxCrashTime = 20 * time.Second
)

// promptCrash is the crash of one start of a server by a poison request.
type promptCrash struct {
	server string
	at     time.Time
}

// crashes returns the crashes by poison requests in order of time.
func (l *promptLoad) crashes() []promptCrash {
	l.deployment.mu.Lock()
	defer l.deployment.mu.Unlock()
	var crashes []promptCrash
	seen := make(map[string]bool)
	for _, r := range l.deployment.runs {
		if platformtest.HasSharedPart(r.Parts, poisonPart) && !seen[r.Server] {
			seen[r.Server] = true
			crashes = append(crashes, promptCrash{r.Server, r.StartedAt})
		}
	}
	return crashes
}

// expectFewLateArrivals checks how many poison requests reach servers, whether these run
// them or not, later than stabilityTime after the servers that may crash have done so.
func (l *promptLoad) expectFewLateArrivals() {
	crashes := l.crashes()
	Expect(crashes).NotTo(BeEmpty())
	late := 0
	if len(crashes) >= partCrashes {
		from := crashes[partCrashes-1].at.Add(stabilityTime)
		poison := make(map[string]bool)
		for _, r := range l.matching((*promptRequest).isPoison) {
			poison[r.attempt] = true
		}
		l.deployment.mu.Lock()
		for _, e := range l.deployment.events {
			if e.kind == eventArrived && poison[e.attempt] && e.at.After(from) {
				late++
			}
		}
		l.deployment.mu.Unlock()
	}
	AddReportEntry("servers crashed", len(crashes))
	Expect(late).To(BeNumerically("<=", maxLateArrivals), "%d servers crashed", len(crashes))
}

// judgedFrom returns the time from which sound requests must be answered: twice
// stabilityTime after the last crash that may happen.
func judgedFrom(crashes []promptCrash) time.Time {
	return crashes[min(len(crashes), partCrashes)-1].at.Add(2 * stabilityTime)
}

// awaitJudged waits until sound requests that are sent from now on have been judged for
// judgedTime.
func (l *promptLoad) awaitJudged() {
	start := time.Now()
	Eventually(func() bool {
		crashes := l.crashes()
		return len(crashes) > 0 && time.Since(start) >= judgedTime && time.Since(judgedFrom(crashes)) >= judgedTime
	}, maxCrashTime, 10*time.Millisecond).Should(BeTrue())
}

// expectSoundAnswered checks that all sound requests between judgedFrom and the last poison
// request are answered. An unanswered request is excused only if a poison request crashed a
// server that was running it: each crash excuses at most serverSlots requests.
func (l *promptLoad) expectSoundAnswered() {
	crashes := l.crashes()
	Expect(crashes).NotTo(BeEmpty())
	from := judgedFrom(crashes)
	var until time.Time
	for _, r := range l.matching((*promptRequest).isPoison) {
		if r.sentAt.After(until) {
			until = r.sentAt
		}
	}
	judged := l.matching(func(r *promptRequest) bool {
		return !r.isPoison() && r.sentAt.After(from) && r.sentAt.Before(until) && (r.answered() || !l.crashInterrupted(r, crashes))
	})
	l.expectAnswered(judged)
}

// crashInterrupted reports whether a poison request crashed a server that was running the
// request.
func (l *promptLoad) crashInterrupted(request *promptRequest, crashes []promptCrash) bool {
	l.deployment.mu.Lock()
	defer l.deployment.mu.Unlock()
	for _, r := range l.deployment.runs {
		for _, c := range crashes {
			if r.AttemptID == request.attempt && r.Server == c.server && c.at.Before(request.endAt) {
				return true
			}
		}
	}
	return false
}

// expectAnswered checks that there are at least minSoundRequests requests, some of them
// with rarePart, and that all are answered.
func (l *promptLoad) expectAnswered(judged []promptRequest) {
	refused := make(map[int]int)
	rare, unanswered := 0, 0
	for i := range judged {
		if platformtest.HasSharedPart(judged[i].parts, rarePart) {
			rare++
		}
		if !judged[i].answered() {
			unanswered++
			refused[judged[i].response.Status]++
		}
	}
	AddReportEntry("sound requests judged", len(judged))
	Expect(unanswered).To(BeZero(), "of %d sound requests; number by status: %v", len(judged), refused)
	Expect(len(judged)).To(BeNumerically(">=", minSoundRequests))
	Expect(rare).To(BeNumerically(">", 0))
}
