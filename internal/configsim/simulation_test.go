package configsim_test

import (
	"fmt"
	"runtime"
	"strings"

	. "github.com/onsi/gomega"
)

// simulation is the run of one spec. A simulation is single-threaded; those of all
// specs run concurrently.
type simulation struct {
	run       func(g Gomega, logf func(format string, args ...any))
	done      chan struct{}
	completed bool
	failure   string
	log       strings.Builder
}

func newSimulation(run func(g Gomega, logf func(format string, args ...any))) *simulation {
	return &simulation{run: run, done: make(chan struct{})}
}

// start runs the simulation in a goroutine, up to its first failed assertion.
func (s *simulation) start() {
	go func() {
		defer close(s.done)
		g := NewGomega(func(message string, _ ...int) {
			s.failure = message
			runtime.Goexit()
		})
		s.run(g, func(format string, args ...any) { fmt.Fprintf(&s.log, format, args...) })
		s.completed = true
	}()
}
