package origin

import "net/http"

// flushWriter sends every piece at once, so that a cut or stalled stream
// delivers what comes before the fault.
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
