package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartPause is the time after which a process that has ended starts again.
const restartPause = 200 * time.Millisecond

// process is one daemon that starts again whenever it ends, until it is closed.
type process struct {
	name, binary, settings string
	logs                   *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
	ended  chan struct{}
}

// startProcess starts a daemon with a settings file in a directory.
func startProcess(dir, name, binary, settings string) (*process, error) {
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, binary: binary, settings: path, logs: logs, ended: make(chan struct{})}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.run()
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	cmd := exec.Command(p.binary, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.logs, p.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// run starts the daemon again each time that it ends.
func (p *process) run() {
	defer close(p.ended)
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		// How it ended is in its log; the checks look at what callers saw.
		_ = cmd.Wait()
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(restartPause)
		if err := p.start(); err != nil {
			// The run goes on without it; the checks tell if that matters.
			fmt.Fprintln(os.Stderr, "soak: process does not start again:", err)
			return
		}
	}
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A process that has just ended takes no signal, and starts again.
	_ = p.cmd.Process.Signal(s)
}

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-p.ended
	_ = p.logs.Close()
}
