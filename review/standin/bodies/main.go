// Command bodies runs two entries against stand-ins of the platform's store and of a plain
// service, and sends them requests with the longest bodies that the configuration allows.
// It acts for the platform: it kills an entry whose resident memory exceeds the limit of its
// settings, and starts it again. It exits with 1 if both entries exceeded it three times.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	// usualCallers is the number of concurrent requests at each entry, burstCallers that in a
	// burst of burstTime: 1.7 times as many.
	usualCallers = 30
	burstCallers = 51
	burstTime    = 3 * time.Second
	// bursts is the number of bursts, pause the time between two of them.
	bursts = 4
	pause  = 4 * time.Second
	// memoryLimit is the limit of the platform for one process, in bytes.
	memoryLimit = 284 << 20
	// maxEnds is the number of ends by which the rule is broken, if each of minEntries has
	// as many.
	maxEnds    = 3
	minEntries = 2
)

func main() {
	program := flag.String("gateway", "target/auburnbend-gateway", "program of the entries")
	wirePath := flag.String("wire", "wire.json", "file with what is spoken on the platform")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	broken, err := run(*program, *wirePath, *record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.Print(err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(program, wirePath, record string, trouble bool) (broken bool, err error) {
	file, err := os.Create(record)
	if err != nil {
		return false, err
	}
	defer file.Close()
	w, err := readWire(wirePath)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review-bodies")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	b, err := newBed(dir, program, w, trouble)
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	b.send(usualCallers, pause)
	for range bursts {
		callers := usualCallers
		if trouble {
			callers = burstCallers
		}
		b.send(callers, burstTime)
		b.send(usualCallers, pause)
	}
	over := 0
	for _, e := range b.entries {
		if e.ends() >= maxEnds {
			over++
		}
	}
	return over >= minEntries, b.report(file)
}

// report writes what was sent, answered and run, and how often the entries ended.
func (b *bed) report(w io.Writer) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "requests sent: %d\n", b.sent.Load())
	for status, count := range b.statuses {
		fmt.Fprintf(w, "answers %s: %d\n", status, count)
	}
	fmt.Fprintf(w, "runs at servers: %d\n", b.runs.Load())
	for _, e := range b.entries {
		fmt.Fprintf(w, "%s: memory over %d bytes %d times, most %d bytes\n", e.name, memoryLimit, e.ends(), e.peak.Load())
	}
	return nil
}

// start starts a program with the command of the deploy file.
func start(program, settings, logs string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Clean(logs))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, "--metrics-port", "7715")
	cmd.Env = append(os.Environ(), "AUBURNBEND_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, cmd.Start()
}
