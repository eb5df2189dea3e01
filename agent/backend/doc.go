// Package backend is the agent's side of its model engine: a state machine of
// the weights of one instance, from the request for a version to the engine that
// serves it.
//
// Machine is pure: events and the time go in, typed actions come out. It uses
// engine.Guard, so that one order at most is outstanding, and it counts weights
// as live only while the engine reports exactly them, in the incarnation and
// with the order number under which they were confirmed. Runner carries out the
// actions.
package backend
