// Package pick chooses the backend server for a request by the expected time to its first token.
// This depends on the work queued at the server by all routers, and on the part of the prompt that
// the server does not have cached. The package does no I/O; time is passed in as an argument.
//
// Invariants: a job is in the waiting list of its server from Begin until its first event or its
// end; the load of a server is the sum over its jobs; a server is in the busy set while it has any
// jobs.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
)

const (
	// unknownHomeMissingShare is the share of the shared parts assumed not to be cached at their
	// home when this router has not sent them there.
	unknownHomeMissingShare = 0.1
	// secondHomeMissingShare is the same for the other homes.
	secondHomeMissingShare = 0.4
	// otherCentreMs is the cost of an engine in another data centre, in milliseconds of engine
	// time. otherCentrePlainMs is the same for a plain service, which has spare capacity at low
	// load.
	otherCentreMs      = 8.0
	otherCentrePlainMs = 4.0
	// In a data centre with its own homes, prompts need not go elsewhere, so sending one to
	// another data centre costs localHomesDistanceMs and localHomesPerKBMs for each KB of the
	// request and its answer. The cost per KB is that of a link on which traffic is expensive.
	localHomesDistanceMs = 4.0
	localHomesPerKBMs    = 2.0
	// answerBytesPerToken is how many bytes a token takes in an answer, with its event framing.
	answerBytesPerToken = 20
	// minLocalEngines is how many engines a data centre needs to have its own homes. With fewer,
	// the two homes of a prompt would be most of the servers over which requests can be spread.
	minLocalEngines = 10
	// slotWaitMs is the waiting time for each request in the queue when all slots of an engine are
	// taken.
	slotWaitMs = 40.0
	// memoryWaitMs is added if the prompt and its answer do not fit into the memory of the engine.
	memoryWaitMs = 400.0
	// maxMemoryShare is the share of an engine's memory above which running requests are
	// preempted.
	maxMemoryShare = 0.92
	// recomputeCostFactor weights the time to recompute shared tokens that another server has
	// cached, relative to that of tokens processed for the first time. It is above 1 because it
	// stands for the price of processing tokens again, besides the engine time this takes.
	recomputeCostFactor = 1.6
	// A fetched copy displaces other tokens, some of which are used again. That costs
	// fetchDisplacementFactor times the time of the fetch, but at most displacedReadFraction of the
	// reading time of as many tokens: over a slow link it does not grow with the time of the fetch.
	fetchDisplacementFactor = 6.0
	displacedReadFraction   = 0.55
	// otherCentreFetchFactor is by what factor a fetch from another data centre takes longer.
	otherCentreFetchFactor = 2.0
	// fetchSetupMs is the fixed time of a fetch.
	fetchSetupMs = 4.0
	// initialPlainMs is the assumed processing time of a request at a plain service.
	initialPlainMs = 20.0
	// plainQueuePerSlot is how many requests per slot may queue at a plain server before it
	// refuses more.
	plainQueuePerSlot = 3.0
	// coldSlowness is the least slowness assumed for a server that has just started.
	coldSlowness = 1.5
	// randomDrawn is how many random engines are considered besides the homes of a prompt. If
	// every router took the least loaded engine by reports that are about 50 ms old, all would
	// choose the same one; a few random candidates spread the requests and leave most at their
	// homes (M. Mitzenmacher, How Useful Is Old Information?, 2000).
	randomDrawn = 1
	// extraDrawn is how many more engines are considered if the best of these would take more than
	// targetShare of the target time to the first token, and more than longRequestShare of it for
	// the processing of the request itself.
	extraDrawn       = 4
	targetShare      = 0.8
	longRequestShare = 0.6
	// expiryInterval is how often parts that no server caches any more are removed.
	expiryInterval = 2 * time.Second
	// peerLoadTTL is how long another router's load report is valid.
	peerLoadTTL = 1500 * time.Millisecond
)

// Request is a request to be placed.
type Request struct {
	Service   string
	Prompt    []routing.PromptPart
	MaxOutput int // maximum number of generated tokens
	// Tried lists the IDs of servers to which this request was already sent.
	Tried []string
	// AllowedRegions are the regions in which the request may be served; nil: all.
	AllowedRegions routing.Regions
	BodyBytes      int // size of the body
	// FirstTokenTarget is the target for the time to the first token; 0: none.
	FirstTokenTarget time.Duration
	// NewVersionShare sends the request to one of the servers that run the version to which the
	// service's traffic is being moved, limited to this share of them; 0: to one of the other
	// servers.
	NewVersionShare float64
	// Pinned restricts the request to servers that run Version, because a server of that version has
	// begun its answer. NewVersionShare is ignored.
	Pinned  bool
	Version string
	// Isolated sends the request to a random healthy server instead of the homes of its prompt,
	// where requests that share parts with it run.
	Isolated bool
}

// listName returns the name of the list of servers that may get the request.
func (r Request) listName() string { return listName(r.Service, r.NewVersionShare > 0) }

// Choice is a chosen server and the estimates that led to the choice.
type Choice struct {
	Server         routing.Server
	Wait           time.Duration // queueing time before the processing of the request begins
	Processing     time.Duration // processing time of the request up to its first token
	UncachedTokens int           // prompt tokens that the server is expected to have to process
	FetchFrom      string        // address of the server from which it fetches shared parts; empty: none
	Full           bool          // the server has reached its queue limit
	Cold           bool          // the server is cold and the request uses a permit
	Speed          float64       // of the server, relative to the median of its service
	// costMs is the weighted cost of processing the request, in milliseconds.
	costMs float64
	// medianMs is the expected time to its first event at the median server of its service; negative:
	// it depends on more than the server's speed.
	medianMs float64
	// tokensAhead is how many tokens are to be processed before its first token; negative: the
	// time includes more than processing and is no measure of the speed.
	tokensAhead float64
	rank        int // by the health of the server
	// Candidates is how many servers could have been chosen.
	Candidates int
}

// server is the state of one backend server, from one start to the next.
type server struct {
	routing.Server
	key                routing.ServerKey
	hash               uint64 // of its ID
	engine             *routing.Engine
	ownLoad            Load
	peerLoad           Load
	peerPendingAt      weightedTime // when the pending tokens of peerLoad were reported
	assigned           []*Assigned  // by the scheduler, not yet in the reports
	assignedLoad       Load         // of assigned
	awaitingFirstEvent []*Job       // jobs without a first event, in the order of sending
	lastProgress       time.Time    // when a job was last added to an empty awaitingFirstEvent, or removed from it
	cache              cache
	advertisedAt       map[uint32]time.Time // when other routers were last told that it caches a part
	slowness           slowness
	class              SpeedClass
	beyondClassSince   time.Time // since when its speed has been outside of its class; zero if it is not
	health             health
	suspectedByPeers   bool // passed over because other routers suspect it
	connLimit          int
	accepts            bool    // listed as accepting requests, not leaving, in no evacuated data centre
	notice             *notice // its entry in Picker.notices; nil: none
	unlisted           bool
	generation         uint32    // value of Picker.generation when it was last listed
	listName           string    // name of the list that holds it while it accepts requests
	readySince         time.Time // since when it has been listed as ready without interruption
	region             string
	cold               slowstart.State
	lastSent           time.Time // when this router last sent a request to it
	lastAnswer         time.Time // when it last answered, or began to answer, a request of this router
	unreachableUntil   time.Time // until when a failed connection attempt of this router counts
	permits            int       // requests per window that the fleet may send while it is cold
	hasColdBound       bool      // its service limits requests to cold servers
	ownPermits         int       // this router's share of permits at ownPermitsVersion
	ownPermitsVersion  int       // value of Fleet.Changes for ownPermits; -1: to be computed
}

// Picker chooses servers for one router. It is not safe for concurrent use.
type Picker struct {
	dataCentre         string
	rng                *rand.Rand
	servers            map[string]*server
	serversByKey       map[routing.ServerKey]*server
	busy               map[routing.ServerKey]*server // servers that run requests of this router or that it suspects
	loaded             map[*server]bool              // servers in the load reports of other routers
	suspectedByPeers   []*server                     // servers passed over because other routers suspect them
	observed           map[*server]bool              // servers whose slowness was observed
	withCache          map[*server]bool              // servers with cached or advertised parts
	cold               map[*server]bool              // servers that were cold at the last tick or became cold since
	services           map[string][]*server          // by list name, servers that accept requests, sorted by hash
	nearby             map[string][]*server          // the same for this data centre only
	versions           map[serviceVersion][]*server  // servers that accept requests, sorted by hash
	listedVersions     versionHistory
	apertures          map[string][]*server // by list name, the plain servers that this router prefers
	seed               uint64               // selects the apertures of this router
	generation         uint32               // number of calls of SetServers
	specs              map[string]*routing.Service
	peerLoads          map[string]peerLoad
	peerSumsStale      bool               // a load report has arrived since the sums were computed
	schedulesUntil     time.Time          // this router is the scheduler of its data centre, which keeps the sums current
	scheduledUntil     time.Time          // until when a scheduler's decisions make up the observed first tokens
	exact              bool               // the request being placed is placed by the scheduler
	speeds             map[string]*speed  // by service
	holders            map[uint32]holders // by part
	pendingParts       SentParts          // to be sent to other routers
	pendingCount       int
	pendingFirstTokens map[string]FirstTokenSums         // to be sent to other routers, by service
	pendingServerTimes map[routing.ServerKey]ServerTimes // to be sent to other routers
	classes            classes
	lastExpiry         time.Time         // when old parts and notices were last removed
	promptKeys         []uint32          // part keys of the prompt being placed
	evacuated          map[string]bool   // evacuated data centres
	regions            map[string]string // by data centre
	fleet              *slowstart.Fleet
	rollouts           *rollout.List
	coldBound          slowstart.RateBound
	warmups            []Warmup // since the last call of TakeWarmups
	notices            map[routing.Identity]*notice
	returned           []ReturnedServer // since the last call of TakeReturned
}

// Warmup reports that a server has become cold.
type Warmup struct {
	Server   routing.Server
	Source   slowstart.Source
	Duration time.Duration
}

// speed holds the estimates of the speed of a service's servers.
type speed struct {
	firstToken   firstTokenFit // of engines
	processingMs float64       // of a request at a plain service
	medianLog    float64       // logarithm of the median slowness of its servers
	// lifetime is how long its engines keep prompt parts in their caches.
	lifetime     time.Duration
	filledTokens float64   // tokens sent by this router since fillUpdated
	fillRate     float64   // tokens per second, averaged
	fillUpdated  time.Time // when fillRate was last updated
	// ownRunning and allRunning are the averaged numbers of running requests of this router and of
	// all routers.
	ownRunning, allRunning float64
}

// New returns a picker for a router in the data centre. It uses rng for random choices.
func New(dataCentre string, rng *rand.Rand) *Picker {
	return &Picker{
		dataCentre:         dataCentre,
		rng:                rng,
		servers:            map[string]*server{},
		serversByKey:       map[routing.ServerKey]*server{},
		busy:               map[routing.ServerKey]*server{},
		loaded:             map[*server]bool{},
		observed:           map[*server]bool{},
		withCache:          map[*server]bool{},
		cold:               map[*server]bool{},
		services:           map[string][]*server{},
		nearby:             map[string][]*server{},
		versions:           map[serviceVersion][]*server{},
		listedVersions:     newVersionHistory(),
		apertures:          map[string][]*server{},
		seed:               rng.Uint64(),
		specs:              map[string]*routing.Service{},
		peerLoads:          map[string]peerLoad{},
		speeds:             map[string]*speed{},
		holders:            map[uint32]holders{},
		pendingParts:       SentParts{},
		pendingFirstTokens: map[string]FirstTokenSums{},
		pendingServerTimes: map[routing.ServerKey]ServerTimes{},
		evacuated:          map[string]bool{},
		fleet:              slowstart.NewFleet(""),
		rollouts:           rollout.NewList(),
		notices:            map[routing.Identity]*notice{},
	}
}

// SetServices applies the configuration of the services.
func (p *Picker) SetServices(list []routing.Service) {
	clear(p.specs)
	for i := range list {
		p.specs[list[i].Name] = &list[i]
	}
	for _, s := range p.servers {
		p.describe(s)
	}
}

// describe applies the configuration of its service to the server.
func (p *Picker) describe(s *server) {
	s.engine = nil
	s.hasColdBound = false
	spec := p.specs[s.Service]
	if spec == nil {
		return
	}
	s.connLimit = spec.MaxConnections
	s.permits, s.hasColdBound = p.coldBound.Permits(spec.SlowStart)
	s.ownPermitsVersion = -1
	if spec.Engine == nil {
		return
	}
	s.engine = spec.Engine
}

// speedOf returns the speed estimates of the service, with initial values for a new one.
func (p *Picker) speedOf(service string) *speed {
	estimates := p.speeds[service]
	if estimates == nil {
		estimates = &speed{firstToken: newFirstTokenFit(), processingMs: initialPlainMs, lifetime: maxLifetime}
		p.speeds[service] = estimates
	}
	return estimates
}

// Tick updates the estimates and removes expired state. It must be called regularly.
func (p *Picker) Tick(now time.Time) {
	p.endScheduled(now)
	p.sumPeerLoads(now)
	for name, list := range p.services {
		if len(list) == 0 || name != list[0].Service {
			continue
		}
		estimates := p.speedOf(name)
		estimates.medianLog = p.medianLog(list)
		p.updateLifetime(estimates, list, now)
	}
	p.classify(now)
	for s := range p.cold {
		if !s.cold.IsCold(now) {
			delete(p.cold, s)
		}
	}
	if now.Sub(p.lastExpiry) > expiryInterval {
		p.lastExpiry = now
		p.expireParts(now)
		p.listedVersions.expire(now)
		p.forgetNotices(now)
		p.forgetFaded(now)
	}
}

// ConnLimit returns how many connections from all routers the server accepts; 0 if unknown.
func (p *Picker) ConnLimit(id string) int {
	if s := p.servers[id]; s != nil {
		return s.connLimit
	}
	return 0
}

// Accepts reports whether the server is listed as accepting new requests and has not announced
// that it is leaving.
func (p *Picker) Accepts(id routing.Identity) bool { return p.Known(id) && p.servers[id.ID].accepts }

// Known reports whether the server is known and has not restarted since.
func (p *Picker) Known(id routing.Identity) bool {
	s := p.servers[id.ID]
	return s != nil && s.Identity() == id
}
