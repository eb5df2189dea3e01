package service

import (
	"encoding/json"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Response is the JSON body of the reply to a call that ran.
type Response struct {
	Path string `json:"path"`
	// Key is the idempotency key of the call.
	Key string `json:"key"`
	// Digest is the digest of the request body.
	Digest model.Digest `json:"digest"`
	// Run is the number of runs so far with this key or, for calls without a key, with
	// this body.
	Run int `json:"run"`
}

// ExpectedResponse returns the response body to the first run of a call.
func ExpectedResponse(path, key string, body []byte) []byte {
	data, _ := json.Marshal(Response{Path: path, Key: key, Digest: model.Sum(body), Run: 1}) //nolint:errchkjson // always encodes
	return data
}
