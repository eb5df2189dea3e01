// Package soak runs the platform's daemons as separate processes on one machine,
// injects faults from outside of them, and checks what callers and backend servers
// see against the requirements of the deployment. All random choices are determined
// by a seed, but the interleaving of the processes is not.
package soak
