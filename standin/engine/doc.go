// Package engine simulates a model engine for tests. It serves the protocol of
// lib/engine on a loopback listener and imitates the behaviour of real engines:
// continuous batching, in which the time between tokens grows with the number of
// running requests; a prompt prefix cache of limited size; request priorities;
// resuming and canceling streams; delayed and lost cache events; and delayed load
// reports.
//
// It does not verify weights. It loads whatever files are staged, and its responses
// contain a digest of what it loaded, so that partial or mixed weights are visible in
// the responses. A Server is safe for concurrent use.
package engine
