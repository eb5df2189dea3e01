package main

import (
	"encoding/json"
	"os"
)

// wire holds what is spoken on the platform: names of headers, the configuration and the row
// of a server without its address and start.
type wire struct {
	AttemptHeader   string         `json:"attempt_header"`
	SignatureHeader string         `json:"signature_header"`
	Config          map[string]any `json:"config"`
	Server          map[string]any `json:"server"`
}

func readWire(path string) (*wire, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	w := &wire{}
	return w, json.Unmarshal(data, w)
}
