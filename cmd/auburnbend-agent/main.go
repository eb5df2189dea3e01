// Command auburnbend-agent is the daemon of backend server instances.
package main

import (
	"github.com/auburnbend/auburnbend/agent"
	"github.com/auburnbend/auburnbend/lib/daemon"
)

func main() { daemon.Main(agent.Program()) }
