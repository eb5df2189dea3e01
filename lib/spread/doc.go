// Package spread decides from which source each instance fetches each piece of a
// new version, so that all of them finish in about the time of one copy. Every
// instance computes the same plan from the same members, without exchanging
// messages: each piece is read from the origin once, is sent to each other
// region once, and is distributed from there within the region.
package spread
