// Package settings holds the settings tree: its INI form, the checks, what
// each customer inherits, the differences between two trees, and the rule by
// which a router takes a newer version and never an older one. It has no
// input or output.
package settings

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// KeyHash is the SHA-256 of a customer's bearer key. Keys themselves are
// never in the settings.
type KeyHash [sha256.Size]byte

// Objective is the service level a customer is promised.
type Objective struct {
	FirstToken    time.Duration // to the first token; 0: none promised
	BetweenTokens time.Duration // mean gap between tokens of an answer; 0: none promised
	Fraction      float64       // of requests that must meet each, such as 0.95
}

// Customer is a leaf of the tree with every value it has or inherits.
type Customer struct {
	Path         msg.CustomerID // such as "trasladar/claims-desk"
	Weight       float64
	Concurrency  int // requests running, per router; 0: no limit
	QueueLen     int // requests waiting, per router
	QueueTime    time.Duration
	RequestTime  time.Duration // the longest a request may take in all
	Rate         float64       // requests a second per router; 0: no limit
	Burst        int
	Models       []string // allowed; "*" allows all
	Services     []string
	RetryPercent float64 // retry allowance, percent of successes per pool
	Objective    Objective
	Keys         []KeyHash
}

// Service is a plain service as the settings describe it.
type Service struct {
	Name string
	// Once lists calls that may not be repeated as "METHOD /path", the path
	// with a trailing "*" for a prefix.
	Once []string
	// ChecksFence says that its servers refuse an old fencing number.
	ChecksFence bool
	// RefusedStatus lists the statuses by which its servers refuse a call
	// before running it, such as 429 and 503.
	RefusedStatus []int
}

// Fleet is what holds for every router.
type Fleet struct {
	MaxBody       int64 // bytes of a request's body
	MaxHeader     int   // bytes of a request's headers
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	DrainLimit    time.Duration // after it a shutdown may cut requests
	QueueBytes    int64         // bytes of waiting requests, per router
	QueueRequests int           // waiting requests, per router
	ClaimLease    time.Duration // how long a claim's holder may take to send
	ClaimKeep     time.Duration // how long a stored answer is kept
}

// Snapshot is one accepted version of the settings. It is immutable and may be
// read from any goroutine.
type Snapshot struct {
	Version   uint64
	Digest    [sha256.Size]byte // of Source
	Source    []byte            // the INI text
	Fleet     Fleet
	Services  map[string]Service
	Customers map[msg.CustomerID]*Customer
	byKey     map[KeyHash]*Customer
	tree      *tree
}

// ByKey returns the customer whose key hashes to h.
func (s *Snapshot) ByKey(h KeyHash) (*Customer, bool) {
	c, ok := s.byKey[h]
	return c, ok
}

// All, in a list of models or services, allows every one.
const All = "*"

// AllowsModel says whether the customer may use the model.
func (c *Customer) AllowsModel(name string) bool { return allows(c.Models, name) }

// AllowsService says whether the customer may use the plain service.
func (c *Customer) AllowsService(name string) bool { return allows(c.Services, name) }

func allows(list []string, name string) bool {
	return slices.Contains(list, All) || slices.Contains(list, name)
}
