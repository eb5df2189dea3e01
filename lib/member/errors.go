package member

import "github.com/ansel1/merry/v2"

var (
	// ErrGenerationReplaced means that the generation was replaced by a newer one. The
	// connection is to be closed.
	ErrGenerationReplaced = merry.New("generation was replaced")
	// ErrDuplicateConn means that the connection id is already in use.
	ErrDuplicateConn = merry.New("connection id is in use")
)
