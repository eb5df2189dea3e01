// Package rollout limits how many instances of a pool may stop serving their
// current version at the same time, so that enough instances stay live for the
// current load while a new version is loaded in waves.
//
// Coordinator performs no I/O: callers pass in the current time. It is not safe
// for concurrent use.
package rollout
