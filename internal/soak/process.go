package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// restartDelay is the time after which a process that has exited is restarted.
const restartDelay = 200 * time.Millisecond

// process is a daemon that is restarted whenever it exits, until close is called. It
// is safe for concurrent use.
type process struct {
	// ip is the IP address of the daemon.
	name, ip, binary, settings string
	logFile                    *os.File

	// panics counts the ends of the daemon by a panic.
	panics atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
	done   chan struct{}
}

// startProcess starts a daemon. It writes the settings and the log to files in dir.
func startProcess(dir, name, ip, binary, settings string) (*process, error) {
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, ip: ip, binary: binary, settings: path, logFile: logs, done: make(chan struct{})}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.supervise()
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	cmd := exec.Command(p.binary, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// supervise restarts the daemon each time that it exits.
func (p *process) supervise() {
	defer close(p.done)
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		// The log shows why it exited. The checks examine what callers observe.
		_ = cmd.Wait()
		if cmd.ProcessState.ExitCode() == goPanicExitCode {
			p.panics.Add(1)
		}
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			// The run continues without it. The checks detect whether that matters.
			fmt.Fprintln(os.Stderr, "soak: restarting a process failed:", err)
			return
		}
	}
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A process that has just exited gets no signal; it is restarted anyway.
	_ = p.cmd.Process.Signal(s)
}

// close kills the process and waits until it has exited.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-p.done
	_ = p.logFile.Close()
}
