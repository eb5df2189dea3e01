// Package backend manages the weights of the agent's model engine. A state machine
// covers the steps from the request for a version until the engine serves it.
//
// Machine is deterministic and performs no I/O: it takes events with their time and
// returns actions. It uses engine.Guard, so that at most one order is outstanding. It
// considers weights live only while the engine reports exactly these weights, with the
// incarnation and the fence under which they were confirmed. Weights that an earlier
// agent loaded become live only if it recorded them as intact. Runner carries out the
// actions.
package backend
