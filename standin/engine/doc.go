// Package engine is a stand-in for a model engine. It serves the protocol that
// lib/engine describes on a loopback listener and behaves as engines do: it
// batches continuously, so that the time between tokens grows with the number
// of running requests, caches prompt prefixes in limited memory, honours
// priorities, resumes and cancels streams, publishes cache events late and
// with gaps, and reports its load with a lag.
//
// It verifies nothing. It loads what it finds at the staging place, and its
// answers carry a digest over what it loaded, so that partial or mixed weights
// show up in the answers. A Server is safe for concurrent use.
package engine
