// Package poison attributes crashes of backend servers to requests, and keeps a
// request that crashes them from crashing more than two.
//
// A request is identified by its fingerprint, which does not depend on the ID that
// its caller gives it. All requests that were in flight when a backend server
// crashed are suspects. A suspect is run again on a backend server that runs no
// other suspect. A response to it clears it, even one shortly before the crash; the
// crash of a second backend server quarantines it until the crashes are older than
// Config.TTL.
//
// Where an agent runs beside each backend server, only crashes that agents report
// count. The loss of a whole instance is no evidence: failures of racks and links
// take down several instances at once, and would quarantine requests that were moved
// from one to the next.
//
// Entries exchange wire.SuspectUpdate. Crashes and clearings are sets that only
// grow, and the run state of each entry carries a sequence number, so that updates
// may be merged in any order and repeatedly.
//
// # Guarantee
//
// Let d be the number of dispatches of a fingerprint that start before a crash
// report, or the loss of an attempt of their own, reaches their entries. Nothing
// coordinates the entries before the first crash, so that up to d backend servers
// may be lost to these dispatches. As long as updates between live entries arrive
// within half of Config.Settle, at most max(2, d) backend servers are lost in all.
// For a caller that waits for its response before it sends the request again, d is 1
// and the bound is 2. Once a suspect is known, entries take turns: each announces
// that it plans to run the suspect, waits for Config.Settle, and gives way to an
// entry that runs it already or has a lower name. An entry that has the fingerprint
// in flight answers an update with that fact, which holds back the others until the
// run has ended. When entries cannot reach each other for longer than Config.Settle,
// the bound holds for each group of connected entries.
//
// Innocent requests are cleared by their own success. New content with copies in
// flight on two backend servers that concurrent first dispatches of a poison request
// crash cannot be told from that request, and is quarantined with it.
//
// Where nothing reports crashes, an Attributor attributes them: a connection that
// ended before the response counts once its server has ended as well. If the same
// incarnation is later seen alive, the crash is withdrawn.
package poison
