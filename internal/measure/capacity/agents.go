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

// location is the location of the measured entry and its agents.
var location = model.Location{Region: "kigali", FailureDomain: "kigali"}

// newAgentsCommand returns the subcommand for the child process that runs the
// agents; a process of their own keeps their cost apart from the entry's. It
// writes the agents' instances as a JSON line, then its usage as a JSON line for
// each line that it reads.
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
	var instances []backing.Instance
	for i := range count {
		a, instance, err := startAgent(i)
		if err != nil {
			return err
		}
		defer func() { _ = a.Close() }()
		instances = append(instances, instance)
	}
	if err := out.Encode(instances); err != nil {
		return merry.Wrap(err)
	}
	for requests := bufio.NewScanner(in); requests.Scan(); {
		if err := out.Encode(readUsage()); err != nil {
			return merry.Wrap(err)
		}
	}
	return nil
}

// startAgent starts an agent for a plain service that receives no requests.
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
