// Package relay passes the rows of a store's tables on between the instances of a
// region, so that one of them follows the store for all: calls of the store are
// paid for, and a large row crosses the region's links once.
//
// The first entry of the region in an order that all agree on reads the store
// directly and confirms several times in the shortest bound that it still does.
// The others ask it. An entry whose last confirmation is too old says so, and its
// followers read the store by themselves at once. Nothing is agreed on: two entries
// that both follow the store cost calls only.
package relay
