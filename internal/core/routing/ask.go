package routing

import "time"

// Part is one part of a prompt, in the order of the prompt. Requests share
// parts; the last one belongs to the request or its session.
type Part struct {
	ID     string
	Tokens int
}

// Ask is what a caller says of its request beside its method, path and body.
type Ask struct {
	Attempt   string // the caller's id of this attempt; each has its own
	Key       string // empty: none
	Left      time.Duration
	HasLeft   bool // the caller said how long it waits
	Prompt    []Part
	TokensIn  int // of the prompt
	TokensOut int // at most
	LastEvent string
}

// Tokens returns the size of a prompt by its parts.
func Tokens(prompt []Part) int {
	total := 0
	for _, p := range prompt {
		total += p.Tokens
	}
	return total
}

// PromptTokens returns the size of the prompt, by its parts if it has any.
func (a *Ask) PromptTokens() int { return max(Tokens(a.Prompt), a.TokensIn) }

// Order is what the fleet itself says to a backend server with a request.
type Order struct {
	Left     time.Duration // what is left of the request's time
	ServerID string        // the start of the server that is to answer
	Customer string        // empty: none
	After    string        // the last event that the caller has; empty: a first run
	FetchAt  string        // a server that keeps parts of the prompt, IP:port; empty: none
}
