// Package processes tests the system as operators run it: its tests build the
// daemons and auburnctl, start each as a process of its own on loopback, and
// look at nothing but exit codes, answers and log events.
package processes
