// Package engine contains the HTTP clients of backend servers: Client for model
// engines and PlainClient for plain services.
//
// A model engine serves these endpoints:
//
//	POST /v1/generate                 takes Request, streams server-sent events:
//	                                  start, token (id: offset), end or error
//	POST /v1/streams/{stream}/cancel  ends a stream
//	GET  /v1/state                    returns State
//	POST /v1/orders                   takes Order, returns Reply when finished
//	GET  /v1/load                     returns LoadReport
//	GET  /v1/cache-events?after=N     returns CacheEventBatch
//	GET  /v1/cache                    returns CacheSnapshot
//
// Errors state whether the request may have run, see NotStarted. Clients are safe
// for concurrent use. A request that runs work uses a connection of its own, so that
// a pooled connection that was closed while idle is not mistaken for a lost request.
package engine
