package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/agent"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// location is where the measured entry and its agents stand.
var location = model.Location{Region: "kigali", FailureDomain: "kigali"}

// newAgentsCommand returns the command of the child process that runs the
// agents, so that their cost is not counted as the entry's. It prints the agents
// as one line, and its usage for each line that it reads.
func newAgentsCommand() *cobra.Command {
	var count int
	c := &cobra.Command{
		Use:    "agents",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runAgents(count, c.InOrStdin(), json.NewEncoder(c.OutOrStdout()))
		},
	}
	c.Flags().IntVar(&count, "count", 1, "number of agents")
	return c
}

func runAgents(count int, in io.Reader, out *json.Encoder) error {
	var list []backing.Instance
	for i := range count {
		a, instance, err := startAgent(i)
		if err != nil {
			return err
		}
		defer func() { _ = a.Close() }()
		list = append(list, instance)
	}
	if err := out.Encode(list); err != nil {
		return merry.Wrap(err)
	}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		if err := out.Encode(readUsage()); err != nil {
			return merry.Wrap(err)
		}
	}
	return nil
}

// startAgent starts an agent of a plain service that is never called.
func startAgent(index int) (*agent.Agent, backing.Instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, backing.Instance{}, merry.Wrap(err)
	}
	identity := model.Identity{
		Instance:   model.InstanceID(fmt.Sprintf("agent-%d", index)),
		Generation: model.Generation(index + 1),
		Location:   location,
		Address:    listener.Addr().String(),
	}
	a, err := agent.New(agent.Config{
		Identity:    identity,
		Pool:        "orders",
		Clock:       clock.System{},
		Rand:        rand.New(rand.NewSource(int64(index))),
		Log:         eventlog.Discard(),
		Listener:    listener,
		BackendKind: settings.BackendPlain,
		BackendURL:  "http://127.0.0.1:9",
		Capacity:    1,
	})
	if err != nil {
		return nil, backing.Instance{}, err
	}
	a.Start()
	return a, backing.Instance{ID: identity.Instance, Role: backing.RoleAgent, Location: location, Address: identity.Address}, nil
}
