package backend

import (
	"net/http"
	"slices"
	"strings"

	"github.com/windscale/windscale/internal/hop"
)

// notForServers are the headers of a caller that a server must not see or
// believe. The method overrides would make a call another one than the settings
// were asked about.
var notForServers = []string{
	"Authorization", "Cookie", "Expect", "Content-Length", "Host",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

// ownPrefix is that of windscale's own headers, which neither side may forge.
const ownPrefix = "Windscale-"

// CleanRequest returns the headers of a caller's request that go on to a
// backend server.
func CleanRequest(h http.Header) http.Header {
	clean := endToEnd(h)
	remove(clean, notForServers)
	return clean
}

// cleanAnswer returns the headers of a server's answer that go on to the
// caller.
func cleanAnswer(h http.Header) http.Header {
	clean := endToEnd(h)
	remove(clean, []string{"Content-Length"}) // set anew from the checked body
	return clean
}

// endToEnd copies h without hop-by-hop headers, those that Connection names,
// and windscale's own.
func endToEnd(h http.Header) http.Header {
	clean := hop.EndToEnd(h)
	remove(clean, hop.Headers)
	for name := range clean {
		if strings.HasPrefix(plainName(name), ownPrefix) {
			delete(clean, name)
		}
	}
	return clean
}

// remove takes the names out of h, however they are spelled.
func remove(h http.Header, names []string) {
	for name := range h {
		if slices.Contains(names, plainName(name)) {
			delete(h, name)
		}
	}
}

// plainName is the name as servers may read it: those that pass headers on as
// variables (CGI, WSGI) make underscores and dashes the same.
func plainName(name string) string {
	return http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
}
