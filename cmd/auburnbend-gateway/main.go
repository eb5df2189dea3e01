// Command auburnbend-gateway is the entry daemon for instances of the users'
// platform.
package main

import "github.com/auburnbend/auburnbend/internal/node"

func main() {
	node.Main(node.Program{
		Name:  "auburnbend-gateway",
		Short: "Takes callers' requests and has them run by backend servers.",
		Long: "auburnbend-gateway takes callers' requests and has them run by backend servers.\n" +
			"It learns routes, keys and backend servers from the platform's store.",
		Example: "  auburnbend-gateway --settings node.yaml --check\n  auburnbend-gateway --metrics-port 7715",
		Run:     node.RunGateway,
	})
}
