// Package rollout decides how many instances of a pool may leave the version
// that they serve at the same time, so that enough stay live for the current
// load while a new version is loaded in waves.
//
// Waves is a pure decision: it takes the time as an argument and is not safe
// for concurrent use.
package rollout
