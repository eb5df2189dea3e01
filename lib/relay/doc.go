// Package relay distributes the rows of a store's tables among the instances of
// a region, so that only one of them reads the store. Calls to the store are
// paid for, and a large row crosses the region's links only once.
//
// All instances agree on an order of the entries of the region. The first entry
// reads the store directly and confirms several times within MaxPropagation
// that it still can. The other entries query it. An entry whose last
// confirmation is too old reports that it is stale, unless an answer of the store
// is arriving. Its followers then ask the next two entries in the order to read
// the store for them, and read it directly if neither can. No consensus is
// needed: if two entries both read the store, this only costs additional calls.
package relay
