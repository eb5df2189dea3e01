// Command auburnbend-gateway is the entry daemon for instances of the platform.
package main

import "github.com/auburnbend/auburnbend/internal/node"

func main() {
	node.Main(node.Program{
		Name:  "auburnbend-gateway",
		Short: "Forward callers' requests to backend servers.",
		Long: "auburnbend-gateway forwards callers' requests to backend servers.\n" +
			"It reads routes, keys and backend servers from the platform's store.",
		Example: "  auburnbend-gateway --settings node.yaml --check\n  auburnbend-gateway --metrics-port 7715",
		Flags:   node.GatewayFlags,
		Run:     node.RunGateway,
	})
}
