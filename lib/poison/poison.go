// Package poison attributes crashes of backend servers to requests and keeps a
// request that crashes them from taking down more than two.
//
// A request is known by its fingerprint, whatever id its caller gives it. All
// requests that were in flight when a backend server crashed are suspects. A
// suspect runs again without another suspect on the same backend server. Its
// own success clears it, also one shortly before the crash; a crash of a second backend server quarantines it until
// the crashes are older than Config.TTL.
//
// Where an agent is beside each backend server, only crashes that it reports count. The loss of a whole instance is no
// evidence: racks and links take down instances together, and would quarantine
// requests that were moved from one to the next.
//
// Entries exchange wire.SuspectUpdate. Crashes and their clearing are sets that
// only grow, and each entry's own run state carries a sequence number, so
// updates may be merged in any order and repeatedly.
//
// # Guarantee
//
// Let d be the number of dispatches of a fingerprint that start before a crash
// report or the loss of an attempt of their own reaches their entries. No coordination precedes the first crash,
// so up to d backend servers may be lost to them. As long as updates between
// live entries arrive within half of Config.Settle, at most max(2, d) backend
// servers are lost in all. For a caller that waits for its answer before it
// sends again, d is 1 and the bound is 2. After a suspect is known, entries take
// turns: each announces that it intends to run the suspect, waits for
// Config.Settle, and gives way to an entry that runs it already or has a lower
// name. An entry that has the fingerprint in flight answers an update with that
// fact, which holds back the others until the run has ended. When entries cannot
// reach each other for longer than Config.Settle, each group of connected
// entries keeps the bound for itself.
//
// Innocent requests are cleared by their own success. New content of which copies
// are in flight on two backend servers that concurrent first dispatches of a
// poison request crash cannot be told from it, and is quarantined with it.
//
// Where nothing reports crashes, Attributor attributes them: a connection that ended before
// its answer counts once its server has ended as well. A sign of life of the same
// start takes the crash back.
//
// A Monitor is not safe for concurrent use.
package poison
