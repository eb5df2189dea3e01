// Package gateway accepts requests from callers and has them run by backend servers,
// which it connects to directly. It does not depend on how requests are encoded in
// headers: a Dialect translates them.
//
// One goroutine serves each request from its first byte to its last. Decisions are
// made by lib/placement, lib/retry and lib/serving, whose state is shared between
// requests and guarded by the Gateway's mutex.
package gateway
