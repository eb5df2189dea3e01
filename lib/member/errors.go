package member

import "github.com/ansel1/merry/v2"

var (
	// ErrGenerationReplaced means that another generation has replaced the one
	// that connected. The caller has to close the connection.
	ErrGenerationReplaced = merry.New("generation was replaced by another one")
	// ErrDuplicateConn means that the connection ID is already in use.
	ErrDuplicateConn = merry.New("connection ID is already in use")
)
