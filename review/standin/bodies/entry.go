package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// watchInterval is how often the memory of an entry is read.
	watchInterval = 2 * time.Millisecond
	// restartDelay is the time after which an entry that was killed starts again.
	restartDelay = 300 * time.Millisecond
)

// entry is a process of the system that is killed when it exceeds the memory limit, and
// started again.
type entry struct {
	name, ip, program, settings, logs string
	// peak is the most resident memory of any of its processes, in bytes.
	peak atomic.Int64

	mu     sync.Mutex
	killed int
	note   func(format string, args ...any)
	stop   chan struct{}
	done   chan struct{}
}

func (e *entry) ends() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killed
}

// supervise keeps the process running until stop is closed.
func (e *entry) supervise() {
	defer close(e.done)
	for {
		cmd, err := start(e.program, e.settings, e.logs)
		if err != nil {
			e.note("%s does not start: %v", e.name, err)
			return
		}
		if !e.watch(cmd) {
			return
		}
		time.Sleep(restartDelay)
	}
}

// watch returns true when the process was killed for its memory, and false when stop is
// closed.
func (e *entry) watch(cmd *exec.Cmd) bool {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	for {
		select {
		case <-e.stop:
			return false
		case <-ticker.C:
		}
		used := residentBytes(cmd.Process.Pid)
		if used > e.peak.Load() {
			e.peak.Store(used)
		}
		if used > memoryLimit {
			e.mu.Lock()
			e.killed++
			e.mu.Unlock()
			e.note("%s is killed by the platform: %d bytes of memory", e.name, used)
			return true
		}
	}
}

// residentBytes returns the resident memory of a process without what it shares with files.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if value, found := bytes.CutPrefix(line, []byte("RssAnon:")); found {
			fields := bytes.Fields(value)
			kilobytes, _ := strconv.ParseInt(string(fields[0]), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
