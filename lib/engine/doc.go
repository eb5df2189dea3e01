// Package engine is the client of a backend server: of a model engine (Client)
// and of a plain service (PlainClient), both over HTTP.
//
// A model engine serves
//
//	POST /v1/generate                 Request in, server-sent events out:
//	                                  start, token (id: offset), end or error
//	POST /v1/streams/{stream}/cancel  ends a stream
//	GET  /v1/state                    State
//	POST /v1/orders                   Order in, Reply out when it has finished
//	GET  /v1/load                     LoadReport
//	GET  /v1/cache-events?after=N     CacheBatch
//	GET  /v1/cache                    CacheSnapshot
//
// Errors say whether the request may have run: see NotStarted. Clients are
// safe for concurrent use. A request that runs work gets a connection of its
// own, so that a connection that died idle in a pool is never mistaken for a
// request that was lost.
package engine
