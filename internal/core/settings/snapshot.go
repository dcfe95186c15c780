// Package settings implements the settings tree: parsing of its INI text,
// validation, inheritance of values by customers, differences between two
// versions, and the rule that a router applies only newer versions. The package
// performs no I/O.
package settings

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// KeyHash is the SHA-256 hash of a caller's bearer key. The settings never
// contain the keys themselves.
type KeyHash [sha256.Size]byte

// Objective is the service-level objective of a customer.
type Objective struct {
	FirstToken    time.Duration // time to the first token; 0: no objective
	BetweenTokens time.Duration // mean time between the tokens of an answer; 0: no objective
	Fraction      float64       // fraction of requests that must meet each of the times, such as 0.95
}

// Customer is a leaf of the tree with all its own and inherited values.
type Customer struct {
	Path         msg.CustomerID // such as "trasladar/claims-desk"
	Weight       float64
	Concurrency  int // running requests per router; 0: no limit
	QueueLen     int // waiting requests per router
	QueueTime    time.Duration
	RequestTime  time.Duration // maximum total time of a request
	Rate         float64       // requests per second and router; 0: no limit
	Burst        int
	Models       []string // allowed models; Wildcard allows all
	Services     []string // allowed plain services; Wildcard allows all
	RetryPercent float64  // retries allowed per pool, as a percentage of successes
	Objective    Objective
	Keys         []KeyHash
}

// Service is a plain service as defined in the settings.
type Service struct {
	Name string
	// AtMostOnce lists calls that must not be repeated, as "METHOD /path". A path
	// that ends in "*" matches all paths with that prefix.
	AtMostOnce []string
	// ChecksFence is set if the servers refuse an old fencing number.
	ChecksFence bool
	// RefusedStatus lists the HTTP statuses with which the servers refuse a call
	// without running it, such as 429 and 503.
	RefusedStatus []int
}

// Fleet holds the settings that apply to every router.
type Fleet struct {
	MaxBody       int64 // bytes of a request's body
	MaxHeader     int   // bytes of a request's headers
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	DrainLimit    time.Duration // time after which a shutdown may abort running requests
	QueueBytes    int64         // bytes of waiting requests per router
	QueueRequests int           // waiting requests per router
	ClaimLease    time.Duration // time in which the holder of a claim must send its call
	ClaimKeep     time.Duration // how long the claim and its stored answer are kept
}

// Snapshot is a validated version of the settings. It is immutable and safe for
// concurrent use.
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

// ByKey returns the customer with a key whose hash is h.
func (s *Snapshot) ByKey(h KeyHash) (*Customer, bool) {
	c, ok := s.byKey[h]
	return c, ok
}

// Wildcard allows all models or services in a list of them.
const Wildcard = "*"

// AllowsModel reports whether the customer may use the model.
func (c *Customer) AllowsModel(name string) bool { return allows(c.Models, name) }

// AllowsService reports whether the customer may use the plain service.
func (c *Customer) AllowsService(name string) bool { return allows(c.Services, name) }

func allows(list []string, name string) bool {
	return slices.Contains(list, Wildcard) || slices.Contains(list, name)
}
