// Package service is a stand-in for a plain service that is routed to next to
// the model engines, such as an order or booking service. It answers a POST to
// any path once, counts how often each idempotency key or body ran, and can be
// slow, refuse, fail, or drop its reply after it ran. It does not deduplicate:
// a request that arrives twice runs twice, so that a repeat shows up. A Server
// is safe for concurrent use.
package service
