package backend

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers of one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

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
	for _, name := range notForServers {
		clean.Del(name)
	}
	return clean
}

// CleanAnswer returns the headers of a server's answer that go on to the
// caller.
func CleanAnswer(h http.Header) http.Header {
	clean := endToEnd(h)
	clean.Del("Content-Length") // set anew from the checked body
	return clean
}

// endToEnd copies h without hop-by-hop headers, those that Connection names,
// and windscale's own.
func endToEnd(h http.Header) http.Header {
	clean := h.Clone()
	if clean == nil {
		clean = http.Header{}
	}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			clean.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		clean.Del(name)
	}
	for name := range clean {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), ownPrefix) {
			delete(clean, name)
		}
	}
	return clean
}
