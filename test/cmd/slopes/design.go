package main

import (
	"time"
)

// The size to design for.
const (
	designRouters    = 410
	designServers    = 600
	designRequests   = 3200    // a second
	designTokens     = 1400000 // a second
	designCustomers  = 1000
	designBacklogged = 100
	designModels     = 9
	designGap        = 52 * time.Millisecond // between tokens

	// Little's law: tokens a second times the time each takes.
	designStreams = designTokens * int(designGap/time.Millisecond) / 1000
	designHold    = time.Duration(designTokens/designRequests) * designGap
)

func designTable([]Slope) (string, error) { return "", nil }
