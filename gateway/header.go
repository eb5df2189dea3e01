package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader copies a header without what concerns one connection only.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// copyAnswerHeader copies a backend server's header to the caller.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range forwardedHeader(from) {
		to[name] = values
	}
	// The library adds a type of its own if the backend server gave none.
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
