package capacity

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// child is the process that runs the agents.
type child struct {
	command   *exec.Cmd
	in        io.WriteCloser
	out       *json.Decoder
	instances []backing.Instance
}

func startChild(ctx context.Context, agents int) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, merry.Wrap(err)
	}
	c := &child{command: exec.CommandContext(ctx, self, "capacity", "agents", "--count", strconv.Itoa(agents))}
	c.command.Stderr = os.Stderr
	if c.in, err = c.command.StdinPipe(); err != nil {
		return nil, merry.Wrap(err)
	}
	out, err := c.command.StdoutPipe()
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if err := c.command.Start(); err != nil {
		return nil, merry.Wrap(err)
	}
	c.out = json.NewDecoder(out)
	if err := c.out.Decode(&c.instances); err != nil {
		c.stop()
		return nil, merry.Wrap(err)
	}
	return c, nil
}

// usage requests the child's resource usage.
func (c *child) usage() (usage, error) {
	var u usage
	if _, err := io.WriteString(c.in, "usage\n"); err != nil {
		return u, merry.Wrap(err)
	}
	return u, merry.Wrap(c.out.Decode(&u))
}

// stop closes the child's standard input, which ends it, and waits for its exit.
func (c *child) stop() {
	_ = c.in.Close()
	_ = c.command.Wait()
}
