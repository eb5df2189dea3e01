// Package telemetry holds the OpenTelemetry instruments of both daemons and the
// local text endpoint that shows them in the Prometheus text format.
//
// Label values are bounded: only declared tenants, classes and models have
// labels of their own, all others are counted under "other", so that callers
// cannot grow the memory of a process by inventing names. All methods are safe
// for concurrent use.
package telemetry
