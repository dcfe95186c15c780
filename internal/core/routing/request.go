package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt, in prompt order. Requests may share leading parts; the last
// part belongs to the request or its session.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestMeta is what a caller specifies about its request in addition to method, path and body.
type RequestMeta struct {
	Attempt        string // caller's ID of this attempt, unique for each
	IdempotencyKey string // empty if there is none
	TimeLeft       time.Duration
	HasTimeLeft    bool // the caller specified how long it waits
	Prompt         []PromptPart
	TokensIn       int // size of the prompt
	TokensOut      int // maximum size of the answer
	LastEventID    string
	// Resumes is the ID of the attempt that brought the first event of the stream that this request
	// resumes; empty if it begins a new one.
	Resumes string
}

// maxSharedParts bounds the parts of a prompt that are considered. A header of the usual maximum length
// holds fewer.
const maxSharedParts = 512

// SharedParts returns the hashes of the parts of a prompt that other requests may have too, each one
// once. The last part belongs to the request or its session and is not one of them.
func SharedParts(prompt []PromptPart) []ContentHash {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, maxSharedParts)]
	hashes := make([]ContentHash, 0, len(shared))
	for _, part := range shared {
		if h := ContentHash(xxhash.Sum64String(part.ID)); !slices.Contains(hashes, h) {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// PromptSize returns the size of a prompt, summed over its parts.
func PromptSize(prompt []PromptPart) int {
	total := 0
	for _, p := range prompt {
		total += p.Tokens
	}
	return total
}

// PromptTokens returns the size of the prompt: the sum of its parts or the declared size,
// whichever is larger.
func (a *RequestMeta) PromptTokens() int { return max(PromptSize(a.Prompt), a.TokensIn) }

// ForwardMeta is what the fleet sends to a backend server along with a request.
type ForwardMeta struct {
	TimeLeft    time.Duration // remaining time of the request
	ServerID    string        // ID of the server start that must answer
	Customer    string        // empty if there is none
	LastEventID string        // ID of the last event that the caller has received; empty for a first run
	FetchFrom   string        // IP:port of a server that holds parts of the prompt; empty if there is none
}
