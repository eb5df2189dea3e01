package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers, and others that concern one connection
// only. They are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns a copy of a header without its hop-by-hop fields.
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

// copyResponseHeader copies a backend server's response header to the caller.
func copyResponseHeader(to, from http.Header) {
	for name, values := range forwardedHeader(from) {
		to[name] = values
	}
	// net/http would add a content type of its own if the backend server gave none.
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
