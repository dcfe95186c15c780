package main

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// malformedKind is a fault that is drawn only if it is named: all servers, or those of one service,
	// answer a part of their requests with bytes that are no response, or break off an early one. Some
	// requests then have long bodies, so that responses can be early.
	malformedKind = "malformed"
	// malformedShare is one in how many requests are answered so.
	malformedShare = 8
	// longBody is the least size of a long body in bytes, and longBodyOneIn one in how many bodies are long.
	longBody      = 3 << 20
	longBodyOneIn = 10
	// longBodies is how many long bodies there are. They differ in their sizes.
	longBodies = 64 << 10
)

// longestBody holds all long bodies, which take no memory of their own.
var longestBody = strings.Repeat("b", longBody+longBodies)

// malformedFaults are the faults of a server that sends malformed responses.
var malformedFaults = []platformtest.Fault{platformtest.Malformed, platformtest.EarlyReset, platformtest.EarlyClose}

// malformedResponses are such responses, of which each server sends one.
var malformedResponses = []string{
	"HTTP/1.1 000 Unknown\r\nATTEMPT\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 600 Unknown\r\nATTEMPT\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate Number: 7\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length : 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate\x01: 7\r\nContent-Length: 4\r\n\r\nbody",
}

// sendMalformed has servers send malformed responses for a while.
func (f *fleet) sendMalformed(x fault) {
	for i, s := range f.faultyServers(x) {
		s.SetMalformed(malformedResponses[(x.Who+i)%len(malformedResponses)])
		failOneIn(s, malformedShare, x.Who+i, malformedFaults)
		defer s.SetFault(nil)
	}
	time.Sleep(x.For)
}

// has reports whether a schedule has a fault of the kind.
func has(list []fault, kind string) bool {
	for _, x := range list {
		if x.Kind == kind {
			return true
		}
	}
	return false
}

// drawLongBody makes the body of some requests long.
func (c *callers) drawLongBody(s *sent, rng *rand.Rand) {
	if c.longBodies && rng.IntN(longBodyOneIn) == 0 {
		s.body = longestBody[:longBody+rng.IntN(longBodies)]
	}
}
