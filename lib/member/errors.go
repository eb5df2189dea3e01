package member

import "github.com/ansel1/merry/v2"

var (
	// ErrRetired means that the generation was replaced by a newer one. The
	// connection is to be closed.
	ErrRetired = merry.New("generation was replaced")
	// ErrDuplicateConn means that the connection id is already in use.
	ErrDuplicateConn = merry.New("connection id is in use")
)
