// Package spread decides from where each instance takes each piece of a new
// version, so that all of them finish in about the time of one copy. Every
// instance computes the same plan from the same members, without messages:
// each piece is read from the origin once, crosses to each other region once,
// and goes from there to the rest of the region.
package spread
