// Package hop tells the headers of one connection from those of a message
// (RFC 9110, 7.6.1).
package hop

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Headers are the headers of one connection, whatever Connection names.
var Headers = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd copies the headers of the message: without those of one connection,
// those that Connection names, and those of other names given.
func EndToEnd(h http.Header, without ...string) http.Header {
	clean := make(http.Header, len(h)+4)
	dropped := append(named(h), without...)
	for name, values := range h {
		if slices.Contains(Headers, name) || slices.Contains(dropped, name) {
			continue
		}
		clean[name] = slices.Clip(values)
	}
	return clean
}

// named returns the names that Connection lists.
func named(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}
