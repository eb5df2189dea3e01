// Package daemon contains the code that the two daemons share: command line,
// validation of settings, signal handling, graceful shutdown and exit codes.
package daemon
