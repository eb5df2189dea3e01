package engine

import "github.com/auburnbend/auburnbend/lib/model"

// OrderKind is the operation that an order requests.
type OrderKind string

const (
	// OrderLoad loads a base model and, if specified, an adapter.
	OrderLoad OrderKind = "load"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
	// OrderExportKV exports the KV cache of a stream.
	OrderExportKV OrderKind = "export_kv"
	// OrderImportKV imports the KV cache of a stream.
	OrderImportKV OrderKind = "import_kv"
)

// StagedFiles lists staged files in load order. If Files is empty, it stands for all
// files of the directory in lexical order.
type StagedFiles struct {
	Directory string   `json:"directory"`
	Files     []string `json:"files,omitempty"`
}

// KVCache is the exported state of a stream. It is valid only under the weights
// that computed it.
type KVCache struct {
	Weights model.Weights `json:"weights"`
	Stream  string        `json:"stream"`
	// Offset is the number of frames that the stream had produced.
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Order is a request to change the state of an engine.
type Order struct {
	Fence Fence     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	// Weights are the weights to load, or those of the KV cache.
	Weights model.Weights `json:"weights"`
	// Base and Adapter are the staged files of Weights.
	Base    StagedFiles `json:"base"`
	Adapter StagedFiles `json:"adapter"`
	Role    Role        `json:"role,omitempty"`
	// Stream identifies the stream whose KV cache is exported.
	Stream string `json:"stream,omitempty"`
	// KV is the KV cache to import.
	KV *KVCache `json:"kv,omitempty"`
}

// Reply is the response to an order that has finished.
type Reply struct {
	// Failure is the reason why the order failed; it is empty on success.
	Failure string `json:"failure,omitempty"`
	// KV is the exported KV cache.
	KV *KVCache `json:"kv,omitempty"`
}
