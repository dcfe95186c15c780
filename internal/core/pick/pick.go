// Package pick chooses the backend server of a request by the time that its
// first token is expected to take there: the work that waits at the server,
// of all routers, and the part of the prompt that the server would have to
// read. It has no input or output; time comes in as an argument.
//
// Invariants: a job is in its server's waiting list from Begin until its first
// event or its end; the sums of a server are those of its jobs; a server is among
// the busy ones while it has any.
package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
)

const (
	// unknownShare is the part of a shared prompt that counts as missing at its
	// home server while this router has not sent it there.
	unknownShare = 0.1
	// secondShare is the same for the second choice.
	secondShare = 0.4
	// otherCentreMs is what a server in another data centre costs, in the time of an engine, and
	// otherCentrePlainMs the same for a plain service, which has time to spare in quiet times.
	otherCentreMs      = 8.0
	otherCentrePlainMs = 4.0
	// A data centre with homes of its own need not send prompts elsewhere: there it is nearMs and
	// for each KB on the way there or back perKBMs, a KB's price where bytes are dear.
	nearMs  = 4.0
	perKBMs = 2.0
	// answerPerToken is how many bytes of an answer a token takes with its event.
	answerPerToken = 20
	// nearLeast is how many engines a data centre needs for homes of its own: with fewer, two of
	// them are most of what its requests are spread over.
	nearLeast = 10
	// slotWaitMs is what a request waits for each one before it when all slots
	// of an engine are taken.
	slotWaitMs = 40.0
	// memoryWaitMs is added when a prompt and its answer don't fit.
	memoryWaitMs = 400.0
	// memoryFull is the part of an engine's memory that running requests may
	// take before others are preempted.
	memoryFull = 0.92
	// rereadX is what a shared token that has to be read again costs against one
	// that is read for the first time: its price beside the engine's time.
	rereadX = 1.6
	// fetchX is the same for a fetched token's time.
	fetchX = 7.0
	// otherCentreFetchX is how much longer a fetch from another data centre takes.
	otherCentreFetchX = 2.0
	// fetchSetupMs is what a fetch takes beside its bytes.
	fetchSetupMs = 4.0
	// plainWorkMs is how long a plain service works on a request, until it is
	// learnt.
	plainWorkMs = 20.0
	// plainQueue is how many requests for each slot may be at a plain server
	// before it refuses more.
	plainQueue = 3.0
	// warmupX is how much slower a server counts that has just started.
	warmupX = 1.5
	// othersDrawn is how many engines a choice looks at beside a prompt's homes. If each router
	// took the least loaded of all by loads some 50 ms old, all would take the same one; a few at
	// random spread requests and leave most at their homes (M. Mitzenmacher, How Useful Is Old
	// Information?, 2000).
	othersDrawn = 1
	// lateDrawn is how many more a choice looks at where the best of these would need more than
	// inTimePart of the time in which the first token is due, longPart of it for the request itself.
	lateDrawn  = 4
	inTimePart = 0.8
	longPart   = 0.6
	// forgetEvery is how often parts that no server keeps any more are dropped.
	forgetEvery = 2 * time.Second
	// peerStale is how long a router's report of its load counts.
	peerStale = 1500 * time.Millisecond
)

// Request is what is to be placed.
type Request struct {
	Service string
	Prompt  []routing.PromptPart
	Out     int // tokens that are made at most
	// Tried lists servers that this request was sent to already.
	Tried []string
	// Homes are the regions in which it may be served; nil: all.
	Homes routing.Regions
	Bytes int // of its body
	// Target is when its first token is to come; 0: not told.
	Target time.Duration
	// NewPart has it go to one of the servers that run a version to which the service's traffic is
	// being moved, so large a part of them; 0: to one of the others.
	NewPart float64
	// Apart has it go to any good server, drawn at random, not to those that keep parts of its prompt:
	// what shares them runs there too.
	Apart bool
}

// list returns the name of the list of servers among which the request's is sought.
func (r Request) list() string { return listName(r.Service, r.NewPart > 0) }

// Choice is a server with what led to it.
type Choice struct {
	Server  routing.Server
	Wait    time.Duration // before the request's own work begins
	Own     time.Duration // the request's own work up to its first token
	Missing int           // tokens of the prompt that the server is thought to have to read
	FetchAt string        // the server that it fetches shared parts from; empty: none
	Full    bool          // every server is at its bound
	Cold    bool          // the server is cold, and the request is sent on a permit
	// work is the request's own work with its price, in milliseconds.
	work float64
	// ahead is how many tokens are to be read before its first token; negative: the
	// time is made up of more than reading, and says nothing of its speed.
	ahead float64
	rank  int // how good the server is, by its health
	// Candidates is how many servers could have been chosen.
	Candidates int
}

// server is what the picker knows of one start of a backend server.
type server struct {
	routing.Server
	key        routing.ServerKey
	hash       uint64 // of its ID
	engine     *routing.Engine
	own        Load
	peers      Load
	waiting    []*Job // in the order in which they were sent
	progress   time.Time
	cache      cache
	advertised map[uint32]time.Time // when the routers were told of a part that it keeps
	slow       float64              // how much slower than expected it answers; 1: as expected
	health     health
	shunned    bool // passed over for what other routers report
	connLimit  int
	takes      bool    // listed as one that takes new requests, not leaving, in no evacuated data centre
	notice     *notice // its entry in Picker.notices; nil: none
	unlisted   bool
	round      uint32    // of SetServers, in which it was listed last
	list       string    // the list in which it stands while it takes requests
	readySince time.Time // since when it has been listed as ready without a gap
	region     string
	cold       slowstart.Cold
	sent       time.Time // when this router sent a request there last
	answered   time.Time // when it last gave an answer, or began to, to a request of this router
	unreached  time.Time // until when it counts as one that this router could not connect to
	permits    int       // requests in a window that the fleet may send while it is cold
	bounded    bool      // its service has such a bound
	slots      int       // those of this router, as of a change of the fleet
	slotsAt    int
}

// Picker is the state of the choice at one router.
type Picker struct {
	dataCentre   string
	rng          *rand.Rand
	servers      map[string]*server
	keyed        map[routing.ServerKey]*server
	busy         map[routing.ServerKey]*server // those with requests of this router, and those that it suspects
	loaded       map[*server]bool              // those of which other routers reported something
	shunned      []*server                     // those passed over for what other routers report
	slowed       map[*server]bool              // those that answer more slowly than expected
	caching      map[*server]bool              // those of which parts are known
	cold         map[*server]bool              // those that have been cold since the last tick
	services     map[string][]*server          // those that take requests, in the order of hashes
	nearby       map[string][]*server          // those of this data centre
	apertures    map[string][]*server          // of plain services, those that this router prefers
	place        uint64                        // draws this router's apertures
	round        uint32                        // counts the calls of SetServers
	specs        map[string]*routing.Service
	peers        map[string]peerLoad
	stale        bool               // a peer's load has come since the sums were made
	rates        map[string]*speed  // by service
	holders      map[uint32]holders // by part
	pending      Sent               // what the other routers are to be told
	pendingCount int
	firsts       map[string]FirstTokens // first tokens that the other routers are to know of, by service
	forgot       time.Time              // when old parts were dropped last
	keys         []uint32               // of the prompt that is being placed
	evacuated    map[string]bool        // data centres
	regions      map[string]string      // by data centre
	fleet        *slowstart.Fleet
	groups       *rollout.List
	bound        slowstart.Bound
	warmups      []Warmup // what changed since it was taken last
	notices      map[routing.Identity]*notice
	returned     []ReturnedServer // since TakeReturned was called last
}

// Warmup is a change of belief about a server's being cold.
type Warmup struct {
	Server routing.Server
	By     slowstart.Source
	For    time.Duration
}

// speed is what was learnt of a service's speed.
type speed struct {
	first  line // of an engine
	workMs float64
	slow   float64 // the median slowness of its servers
	// life is how long its engines keep what they read.
	life     time.Duration
	filled   float64   // tokens that this router has sent since filledAt
	fill     float64   // the same a second, averaged
	filledAt time.Time // when it was averaged last
	// ownRunning and allRunning are this router's and all routers' requests that
	// run there, averaged.
	ownRunning, allRunning float64
}

// New returns a picker of a router in the data centre. It draws from rng.
func New(dataCentre string, rng *rand.Rand) *Picker {
	return &Picker{
		dataCentre: dataCentre,
		rng:        rng,
		servers:    map[string]*server{},
		keyed:      map[routing.ServerKey]*server{},
		busy:       map[routing.ServerKey]*server{},
		loaded:     map[*server]bool{},
		slowed:     map[*server]bool{},
		caching:    map[*server]bool{},
		cold:       map[*server]bool{},
		services:   map[string][]*server{},
		nearby:     map[string][]*server{},
		apertures:  map[string][]*server{},
		place:      rng.Uint64(),
		specs:      map[string]*routing.Service{},
		peers:      map[string]peerLoad{},
		rates:      map[string]*speed{},
		holders:    map[uint32]holders{},
		pending:    Sent{},
		firsts:     map[string]FirstTokens{},
		evacuated:  map[string]bool{},
		fleet:      slowstart.NewFleet(""),
		groups:     rollout.NewList(),
		notices:    map[routing.Identity]*notice{},
	}
}

// SetServices takes what the configuration says of the services.
func (p *Picker) SetServices(list []routing.Service) {
	clear(p.specs)
	for i := range list {
		p.specs[list[i].Name] = &list[i]
	}
	for _, s := range p.servers {
		p.describe(s)
	}
}

// describe takes over what the configuration says of the server's service.
func (p *Picker) describe(s *server) {
	s.engine = nil
	s.bounded = false
	spec := p.specs[s.Service]
	if spec == nil {
		return
	}
	s.connLimit = spec.MaxConnections
	s.permits, s.bounded = p.bound.Permits(spec.SlowStart)
	s.slotsAt = -1
	if spec.Engine == nil {
		return
	}
	s.engine = spec.Engine
}

// rate returns what is known of the service's speed.
func (p *Picker) rate(service string) *speed {
	r := p.rates[service]
	if r == nil {
		r = &speed{first: newLine(), workMs: plainWorkMs, slow: 1, life: mostLife}
		p.rates[service] = r
	}
	return r
}

// Tick forgets old reports of other routers.
func (p *Picker) Tick(now time.Time) {
	p.sumPeers(now)
	for name, list := range p.services {
		if len(list) == 0 || name != list[0].Service {
			continue
		}
		r := p.rate(name)
		r.slow = p.median(list)
		p.learnLife(r, list, now)
	}
	for s := range p.cold {
		if !s.cold.Is(now) {
			delete(p.cold, s)
		}
	}
	if now.Sub(p.forgot) > forgetEvery {
		p.forgot = now
		p.forgetParts(now)
		p.forgetNotices(now)
	}
}

// median returns the median of how much slower than expected the servers of a service are: what
// all of them have in common says nothing of one. Those that are not known to be slow count as 1.
func (p *Picker) median(list []*server) float64 {
	if len(list) == 0 {
		return 1
	}
	var slow []float64
	for s := range p.slowed {
		if s.takes && s.Service == list[0].Service {
			slow = append(slow, s.slow)
		}
	}
	at := len(list)/2 - (len(list) - len(slow))
	if at < 0 {
		return 1
	}
	slices.Sort(slow)
	return slow[at]
}

// ConnLimit is how many connections the server of the ID takes from all
// routers; 0: not told.
func (p *Picker) ConnLimit(id string) int {
	if s := p.servers[id]; s != nil {
		return s.connLimit
	}
	return 0
}

// Takes reports whether the server is listed as one that takes new requests and has not
// announced that it is leaving.
func (p *Picker) Takes(id routing.Identity) bool { return p.Known(id) && p.servers[id.ID].takes }

// Known reports whether the server is still known, and has not started again since.
func (p *Picker) Known(id routing.Identity) bool {
	s := p.servers[id.ID]
	return s != nil && s.Identity() == id
}
