// Package hop separates hop-by-hop headers from end-to-end headers (RFC 9110, section 7.6.1).
package hop

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Headers are the headers that are hop-by-hop even if Connection doesn't list them.
var Headers = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd copies the end-to-end headers: all except those in Headers, those that Connection
// lists, and the excluded ones.
func EndToEnd(h http.Header, exclude ...string) http.Header {
	kept := make(http.Header, len(h)+4)
	excluded := append(connectionOptions(h), exclude...)
	for name, values := range h {
		if slices.Contains(Headers, name) || slices.Contains(excluded, name) {
			continue
		}
		kept[name] = slices.Clip(values)
	}
	return kept
}

// connectionOptions returns the header names that Connection lists.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}
