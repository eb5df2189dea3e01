// Package replica brings the declared version of the weights onto one instance:
// it fetches the pieces from peers and the origin, verifies each one, stages
// them at the instance's engine and orders the engine to load them. It also
// serves pieces to peers and reports the engine's load to the entries.
package replica
