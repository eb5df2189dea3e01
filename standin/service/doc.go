// Package service is a stand-in for a plain service, such as an order or booking service,
// which is a routing target like a model engine. It runs POST calls to any path, counts
// the runs of each idempotency key or body, and can delay, refuse or fail a call or lose
// its reply. It does not deduplicate: a request that arrives twice runs twice, so that
// tests can detect it. A Server is safe for concurrent use.
package service
