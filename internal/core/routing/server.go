package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerState says whether a backend server accepts new requests.
type ServerState int

const (
	ServerReady ServerState = iota + 1
	ServerDraining
)

// Identity identifies one start of a backend server. A server that restarts under its ID has lost
// all its earlier state.
type Identity struct {
	ID   string
	Born int64 // time of its start by its own clock, Unix milliseconds; 0 if not reported
}

// startHashFactor spreads start times that differ little over all bits: 2^64 divided by the golden
// ratio.
const startHashFactor = 0x9e3779b97f4a7c15

// Key returns the key that routers use for the identity.
func (i Identity) Key() ServerKey {
	sum := xxhash.Sum64String(i.ID) ^ uint64(i.Born)*startHashFactor
	return ServerKey(sum ^ sum>>32)
}

// ServerKey identifies a server between routers: a four-byte hash of its identity. With 600
// servers, two share a key in one fleet out of 24,000, and each is then also charged with the
// other's load.
type ServerKey uint32

// Constants that derive the keys of a server's next start. The factor is odd, so that distinct
// starts get distinct keys: 2^32 divided by the golden ratio.
const (
	startFactor      ServerKey = 0x9e3779b1
	nextStart        ServerKey = 0x7f4a7c15
	unconfirmedStart ServerKey = 0x85ebca6b
)

// NextStart returns the key of the server's next start, used until the platform lists that start.
func (k ServerKey) NextStart() ServerKey { return k*startFactor + nextStart }

// UnconfirmedStart returns the key of a next start that may not have happened.
func (k ServerKey) UnconfirmedStart() ServerKey { return k*startFactor + unconfirmedStart }

// Confirmed converts the key of an unconfirmed start to the key that routers use once the start is
// confirmed.
func (k ServerKey) Confirmed() ServerKey { return k - unconfirmedStart + nextStart }

// Server is one start of a backend server as listed by the platform.
type Server struct {
	ID         string
	Born       int64 // see Identity
	Service    string
	Addr       string // IP:port
	DataCentre string
	Slots      int
	State      ServerState
	Warmup     time.Duration // remaining warm-up time after its start
	// EntryVersion is the version of the store at which the entry was written; 0 if unknown.
	EntryVersion uint64
	Version      string // version of its software; empty if not reported
}

// Identity returns the identity of the server.
func (s Server) Identity() Identity { return Identity{ID: s.ID, Born: s.Born} }

// ServerNotice is what a server announces about itself in an answer to any request.
type ServerNotice struct {
	Leaving bool          // the server is shutting down and wants no new requests
	Backoff time.Duration // how long it wants no requests from this router; 0 if not specified
}

// AcceptsRequests reports whether the server accepts new requests.
func (s Server) AcceptsRequests() bool { return s.State == ServerReady }
