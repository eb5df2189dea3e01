package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire holds names of the platform. Code outside the folder platform has none of them.
var wire struct {
	Attempt, Signature, Expected, Instance, Deadline, Keys, Kind, Cold string
}

func init() {
	if err := json.Unmarshal(wireJSON, &wire); err != nil {
		panic(err)
	}
}
