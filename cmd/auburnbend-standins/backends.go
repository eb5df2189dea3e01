package main

import (
	"io"

	"github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/service"
)

// backends are the stand-ins of backend servers that this process serves.
type backends struct {
	engines, services []string
	running           []io.Closer
}

func (b *backends) start() error {
	for _, address := range b.engines {
		server, err := engine.Start(engine.Config{Address: address, TimeScale: engineTimeScale})
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

// engineTimeScale makes the engines ten times as fast as real ones.
const engineTimeScale = 0.1
