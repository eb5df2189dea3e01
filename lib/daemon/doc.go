// Package daemon is what the two daemons share: the command line, the check of
// settings, signals, the graceful end and exit codes.
package daemon
