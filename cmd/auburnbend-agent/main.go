// Command auburnbend-agent is the daemon that runs on instances with a backend server.
package main

import (
	"github.com/auburnbend/auburnbend/agent"
	"github.com/auburnbend/auburnbend/lib/daemon"
)

func main() { daemon.Main(agent.Program()) }
