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

// ServerState says whether a backend server takes new requests.
type ServerState int

// The states of a backend server.
const (
	ServerReady ServerState = iota + 1
	ServerDraining
)

// Server is one start of a backend server, as the platform lists it. Another
// start at the same address has another ID.
type Server struct {
	ID         string
	Service    string
	Addr       string // IP:port
	DataCentre string
	Slots      int
	State      ServerState
	Warmup     time.Duration // how much longer it is slow after its start
}

// Takes reports whether the server takes new requests.
func (s Server) Takes() bool { return s.State == ServerReady }
