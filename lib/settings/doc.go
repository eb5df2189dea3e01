// Package settings reads the INI file of a daemon: what the process itself
// needs before it can reach anything else. The live configuration that
// operators declare is in lib/config.
//
// A file is read once at start. Every fault in it is reported at once, each
// with its file, line, key, value and what is allowed, so that an operator
// corrects a file in one pass.
package settings
