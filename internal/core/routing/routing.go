// Package routing holds one version of the fleet's configuration and selects the service for a
// request. It does no I/O. A version is replaced as a whole and never modified.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says whether a request of a route may run more than once.
type Kind int

const (
	Idempotent Kind = iota + 1 // may run more than once
	RunOnce                    // may run at most once for each attempt of a caller
	Stream                     // answered by a stream of events; runs at most once unless resumable
)

// Share is the weight of one of the services that a route is split over.
type Share struct {
	Service string
	Weight  float64
}

// Route is a configuration entry that selects requests and says how they are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // starts and ends with a slash
	Kind        Kind
	Resumable   bool // another server may continue after the last event
	Public      bool // no key is required
	Timeout     time.Duration
	Target      time.Duration // an answer (for streams, the first event) is on time within it
	GapTarget   time.Duration // streams: longest pause between events that is on time
	Priority    int           // 0 is the highest
	MaxAttempts int           // number of servers that one attempt of a caller may be sent to
	Shares      []Share
	Homes       Regions
}

// Repeatable reports whether a request that may have run already may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns a service chosen by weight for a random u in [0,1).
func (r *Route) PickService(u float64) string {
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := u * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// SameServices reports whether the routes of two configurations lead all requests to the same services.
func SameServices(a, b *Config) bool {
	return slices.EqualFunc(a.Routes, b.Routes, func(r, o Route) bool {
		return r.Host == o.Host && r.Prefix == o.Prefix && slices.Equal(r.Shares, o.Shares)
	})
}

// Engine is the operator's description of the model engines of a service.
type Engine struct {
	Slots       int   // maximum number of concurrent requests
	CacheTokens int64 // capacity for prompts and running requests
	// FetchPerToken is how long a server takes to fetch the cached state of one token from another
	// server; 0 if it can't.
	FetchPerToken time.Duration
}

// Holds returns how many requests with prompts of the given length an engine can run at once: as many
// as it has slots and memory for.
func (e *Engine) Holds(promptTokens int) int {
	return min(e.Slots, int(e.CacheTokens)/promptTokens)
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int     // per server, from all routers
	Engine         *Engine // nil for a service without model engines
	SlowStart      SlowStart
}

// SlowStart is the operator's description of how the servers of a service warm up after a start.
type SlowStart struct {
	For       time.Duration // duration of the warm-up; 0 if there is none
	PerSecond float64       // request rate that a cold server can bear; 0 if not limited
}

// Regions lists the regions in which requests may be served; nil means all.
type Regions []string

// Allows reports whether requests may be served in the region.
func (r Regions) Allows(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the regions that both allow.
func (r Regions) Intersect(other Regions) Regions {
	if r == nil {
		return other
	}
	if other == nil {
		return r
	}
	both := Regions{}
	for _, region := range r {
		if other.Allows(region) {
			both = append(both, region)
		}
	}
	return both
}

// Limits are the limits on what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	TokensPerSec   float64 // total throughput of the engines; 0 if unknown
}

// Customer is a customer with the keys that identify its requests.
type Customer struct {
	Name     string
	Keys     []string
	Priority int // 0 is the highest; negative means that the route's priority applies
	Homes    Regions
}

// Config is one version of the whole configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Table is the lookup index of one version of the configuration. It is immutable after [NewTable].
type Table struct {
	Config   *Config
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Customer
	services map[string]*Service
	// customerPriorities holds the customers with a priority of their own, by name.
	customerPriorities map[string]int
}

// NewTable builds the lookup index of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		Config:   c,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Customer{},
		services: map[string]*Service{},

		customerPriorities: map[string]int{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			t.keys[key] = &c.Customers[i]
		}
		if p := c.Customers[i].Priority; p >= 0 {
			t.customerPriorities[c.Customers[i].Name] = p
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Route returns the route of the host with the longest prefix that matches the path, or nil. A
// port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the customer with the given key, or nil.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }

// Priority returns the priority of a customer's requests of the route: the customer's, or else the
// route's. 0 is the highest.
func (t *Table) Priority(customer string, r *Route) int {
	if p, ok := t.customerPriorities[customer]; ok {
		return p
	}
	return r.Priority
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasEngines reports whether the named service has model engines.
func (t *Table) HasEngines(name string) bool {
	s := t.services[name]
	return s != nil && s.Engine != nil
}
