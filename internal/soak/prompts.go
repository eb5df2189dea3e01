package soak

import (
	"hash/fnv"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// poisonPart is the part of prompts that crashes each server that answers it.
	// firstPart begins all prompts.
	poisonPart = 0xbad0
	firstPart  = 0xf157
	// firstCommonPart is the first of commonParts parts, of which each prompt has one.
	firstCommonPart = 0xc000
	commonParts     = 4
	// sharedTokens is the length of each part that prompts share, ownTokens that of the
	// last part on routes without streams.
	sharedTokens = 20
	ownTokens    = 50
)

// promptOf returns the parts of request number n of a caller. The last part, of the given
// length, belongs to the attempt.
func promptOf(attempt string, n, tokens int) []platformtest.Part {
	own := fnv.New64a()
	own.Write([]byte(attempt))
	return []platformtest.Part{
		{ID: firstPart, Tokens: sharedTokens},
		{ID: firstCommonPart + uint64(n%commonParts), Tokens: sharedTokens},
		{ID: own.Sum64(), Tokens: tokens},
	}
}
