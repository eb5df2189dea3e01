package bed3

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed wire.json
var wireFile []byte

// names are the platform's names, by those of this package.
var names = readNames()

func readNames() map[string]string {
	var read map[string]string
	if err := json.Unmarshal(wireFile, &read); err != nil {
		panic(err)
	}
	return read
}

// Name returns the platform's name of a header or field.
func Name(own string) string { return names[own] }

// AnswerHead returns the headers by which an answer belongs to a request and a runner.
func AnswerHead(id string) string {
	return fmt.Sprintf("%s: %s\r\n%s: sig.%s\r\n", Name("attempt"), id, Name("signature"), id)
}

// Done sends the answer "done" with a length.
func (x *Exchange) Done() {
	_, _ = fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\ndone", AnswerHead(x.ID))
}
