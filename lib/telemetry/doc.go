// Package telemetry provides the OpenTelemetry instruments of both daemons and a
// local endpoint that serves them in the Prometheus text format.
//
// The number of label values is limited: only declared tenants, classes and models
// have label values of their own, and all others are counted under "other". This
// prevents callers from growing the memory of a process by sending arbitrary names.
// All methods are safe for concurrent use.
package telemetry
