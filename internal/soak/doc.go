// Package soak runs the daemons of the platform as separate processes on one
// machine, injects faults from outside of them, and checks what callers and
// backend servers see against what the deployment demands. All choices follow
// from a seed; the interleaving of the processes does not.
package soak
