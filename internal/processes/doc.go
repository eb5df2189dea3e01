// Package processes holds end-to-end tests of the system as operators run it. They
// build the daemons and auburnctl, start each as a separate process on loopback, and
// check only exit codes, responses, metrics and log events.
package processes
