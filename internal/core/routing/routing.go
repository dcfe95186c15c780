// Package routing holds one version of the fleet's configuration, as the
// product understands it, and decides which service a request goes to. It has
// no input or output; versions are replaced whole and never changed.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says what may be done with a request of a route more than once.
type Kind int

// The kinds of request.
const (
	Idempotent Kind = iota + 1 // may run more than once
	RunOnce                    // may run at most once for each attempt of a caller
	Stream                     // answered by a series of events; runs at most once unless resumable
)

// Share is one of the services that a route is split over.
type Share struct {
	Service string
	Weight  float64
}

// Route is one entry of the configuration: which requests it takes and how
// they are treated.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool // streams only: another server may go on after the last event
	Public      bool // no key is asked for
	Timeout     time.Duration
	Target      time.Duration // an answer (streams: the first event) within it is in time
	GapTarget   time.Duration // streams: the longest pause between events that is in time
	Priority    int           // 0 is the highest
	MaxAttempts int           // servers that one attempt of a caller may be sent to
	Shares      []Share
	Homes       Homes
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a draw u in [0,1), by weight.
func (r *Route) Pick(u float64) string {
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := u * total
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine is what the operator declares of a service's model engines.
type Engine struct {
	Slots       int   // requests that run at once
	CacheTokens int64 // memory for prompts and running requests
	// FetchPerToken is how long a server takes to fetch a token's memory from
	// another one; 0: it can't.
	FetchPerToken time.Duration
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int     // for each server, from all routers
	Engine         *Engine // nil: a plain service
	SlowStart      SlowStart
}

// SlowStart is what the operator declares of a service's servers after their start.
type SlowStart struct {
	For       time.Duration // how long they are cold; 0: they are not
	PerSecond float64       // requests that a cold one bears; 0: not bounded
}

// Homes are the regions in which requests may be served; nil: all.
type Homes []string

// Allow reports whether the region is one of them.
func (h Homes) Allow(region string) bool { return h == nil || slices.Contains(h, region) }

// And returns the regions that both allow.
func (h Homes) And(o Homes) Homes {
	if h == nil {
		return o
	}
	if o == nil {
		return h
	}
	both := Homes{}
	for _, region := range h {
		if o.Allow(region) {
			both = append(both, region)
		}
	}
	return both
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	TokensPerSec   float64 // what the engines make together; 0: unknown
}

// Customer is one customer and the keys by which its requests are known.
type Customer struct {
	Name     string
	Keys     []string
	Priority int // 0 is the highest; negative: none, the route's counts
	Homes    Homes
}

// Config is one version of the whole configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Table answers the questions of a request's path for one version of the
// configuration. It is never changed after [NewTable].
type Table struct {
	Config   *Config
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Customer
	services map[string]*Service
}

// NewTable indexes the configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		Config:   c,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Customer{},
		services: map[string]*Service{},
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
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Route returns the route of the host with the longest prefix that begins the
// path, or nil. A port in host is ignored.
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

// Customer returns the customer that holds the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }

// Service returns the service of the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Engine reports whether the service of the name is one of model engines.
func (t *Table) Engine(name string) bool {
	s := t.services[name]
	return s != nil && s.Engine != nil
}
