// Command auburnbend-replica is the agent daemon for instances of the platform.
package main

import "github.com/auburnbend/auburnbend/internal/node"

func main() {
	node.Main(node.Program{
		Name:  "auburnbend-replica",
		Short: "Keep the model engine of its instance on the declared weights.",
		Long: "auburnbend-replica keeps the model engine of its instance on the declared weights.\n" +
			"It fetches them from peers and the origin, verifies them, and orders the engine to load them.",
		Example: "  auburnbend-replica --settings node.yaml --check\n  auburnbend-replica --metrics-port 7714",
		Run:     node.RunReplica,
	})
}
