// Package gateway takes requests from callers and has them run by backend
// servers, directly and without a hop in between. It decides nothing about the
// encoding of what it needs to know of a request: a Dialect translates that.
//
// One goroutine serves each request from its first byte to its last. Decisions
// are those of lib/placement, lib/retry and lib/serving, which are shared
// between requests under the Gateway's mutex.
package gateway
