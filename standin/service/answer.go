package service

import (
	"encoding/json"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Answer is the JSON answer of a call that ran.
type Answer struct {
	Path string `json:"path"`
	// Key is the idempotency key of the call.
	Key string `json:"key"`
	// Digest is over the body of the call.
	Digest model.Digest `json:"digest"`
	// Run counts the runs of the key, or of the body without a key.
	Run int `json:"run"`
}

// ExpectedAnswer returns the answer to the first run of a call.
func ExpectedAnswer(path, key string, body []byte) []byte {
	data, _ := json.Marshal(Answer{Path: path, Key: key, Digest: model.Sum(body), Run: 1}) //nolint:errchkjson // always encodes
	return data
}
