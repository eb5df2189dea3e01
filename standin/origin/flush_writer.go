package origin

import "net/http"

// flushWriter flushes after every write, so that the client receives all bytes before the
// point where a fault cuts or stalls the stream.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}
