// Package settings reads the INI settings file of a daemon. It contains what the
// process needs before it can reach any other process. The live configuration
// that operators declare is in lib/config.
//
// All violations in a file are reported together, each with the file, line, key,
// value and allowed values, so that an operator can correct the file in one pass.
package settings
