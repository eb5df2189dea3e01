package engine

import "github.com/auburnbend/auburnbend/lib/model"

// OrderKind says what an order asks for.
type OrderKind string

const (
	// OrderLoad loads a base model and, where named, an adapter.
	OrderLoad OrderKind = "load"
	// OrderRole changes the role.
	OrderRole OrderKind = "role"
	// OrderExportKV takes the KV cache of a stream out of the engine.
	OrderExportKV OrderKind = "export_kv"
	// OrderImportKV puts a KV cache into the engine.
	OrderImportKV OrderKind = "import_kv"
)

// StagedFiles names staged files: the given ones of a directory in order, or all of
// them in lexical order when none is given.
type StagedFiles struct {
	Directory string   `json:"directory"`
	Files     []string `json:"files,omitempty"`
}

// KVCache is the state of a stream. It is of use only under the weights that
// it was computed with.
type KVCache struct {
	Weights model.Weights `json:"weights"`
	Stream  string        `json:"stream"`
	// Offset is the number of frames that the stream had produced.
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Order changes the state of an engine.
type Order struct {
	Fence Fence     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	// Weights are what to load, or those that a KV cache belongs to.
	Weights model.Weights `json:"weights"`
	// Base and Adapter say where the files of Weights are staged.
	Base    StagedFiles `json:"base"`
	Adapter StagedFiles `json:"adapter"`
	Role    Role        `json:"role,omitempty"`
	// Stream names the stream whose KV cache is exported.
	Stream string `json:"stream,omitempty"`
	// KV is imported.
	KV *KVCache `json:"kv,omitempty"`
}

// Reply answers an order that has finished.
type Reply struct {
	// Failure says why the order failed; it is empty after a success.
	Failure string `json:"failure,omitempty"`
	// KV is the exported cache.
	KV *KVCache `json:"kv,omitempty"`
}
