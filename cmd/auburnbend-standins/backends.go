package main

import (
	"io"

	"github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/service"
)

// backends are stand-ins of backend servers.
type backends struct {
	engines, services []string
	running           []io.Closer
}

func (b *backends) start() error {
	for _, address := range b.engines {
		server, err := engine.Start(engine.Config{Address: address, TimeScale: engineScale})
		if err != nil {
			return err
		}
		b.running = append(b.running, server)
	}
	for _, address := range b.services {
		server, err := service.Start(service.Config{Address: address})
		if err != nil {
			return err
		}
		b.running = append(b.running, server)
	}
	return nil
}

func (b *backends) close() {
	for _, server := range b.running {
		_ = server.Close()
	}
}

// engineScale makes the engines answer ten times as fast as those in use.
const engineScale = 0.1
