package settings

import "time"

// Key describes a settings key for the documentation.
type Key struct {
	Name    string
	Default string
	Format  string // accepted format of the value
	Meaning string
}

// keySpec is a key of a section whose values are stored in a T.
type keySpec[T any] struct {
	Key
	set func(*T, string) bool // returns false if the value does not match the format
}

func newKey[T, V any](name, def, meaning string, f valueFormat[V], field func(*T) *V) keySpec[T] {
	set := func(t *T, s string) bool {
		v, ok := f.parse(s)
		if ok {
			*field(t) = v
		}
		return ok
	}
	return keySpec[T]{Key{name, def, f.want, meaning}, set}
}

const (
	day      = 24 * time.Hour
	maxCount = 1_000_000
	kib      = 1 << 10
	mib      = 1 << 20
	gib      = 1 << 30
	keysKey  = "keys"
)

var fleetKeys = []keySpec[Fleet]{
	newKey("max_body", "8MiB", "the longest body of a request",
		size[int64](kib, gib), func(f *Fleet) *int64 { return &f.MaxBody }),
	newKey("max_header", "64KiB", "the longest headers of a request",
		size(kib, 16*mib), func(f *Fleet) *int { return &f.MaxHeader }),
	newKey("header_timeout", "10s", "time a caller has to send a request's headers",
		duration(100*time.Millisecond, 10*time.Minute), func(f *Fleet) *time.Duration { return &f.HeaderTimeout }),
	newKey("idle_timeout", "2m0s", "time a caller's connection may be idle",
		duration(time.Second, day), func(f *Fleet) *time.Duration { return &f.IdleTimeout }),
	newKey("drain_limit", "30m0s", "time after which a shutdown may cut requests in progress",
		duration(time.Second, 7*day), func(f *Fleet) *time.Duration { return &f.DrainLimit }),
	newKey("queue_bytes", "64MiB", "memory of all waiting requests of a router, and as much again of those still arriving",
		size[int64](kib, 1024*gib), func(f *Fleet) *int64 { return &f.QueueBytes }),
	newKey("queue_requests", "10000", "waiting requests of a router",
		integer(1, maxCount), func(f *Fleet) *int { return &f.QueueRequests }),
	newKey("claim_lease", "10s", "time the holder of an idempotency claim has to send the request",
		duration(time.Second, 10*time.Minute), func(f *Fleet) *time.Duration { return &f.ClaimLease }),
	newKey("claim_keep", "24h0m0s", "time the answer to a request with an idempotency key is kept",
		duration(time.Minute, 90*day), func(f *Fleet) *time.Duration { return &f.ClaimKeep }),
}

var serviceKeys = []keySpec[Service]{
	newKey("once", EmptyList, "calls that may not be repeated, a path ending in * for all that begin so",
		callList, func(s *Service) *[]string { return &s.AtMostOnce }),
	newKey("checks_fence", "false", "whether its servers refuse an old fencing number",
		boolean, func(s *Service) *bool { return &s.ChecksFence }),
	newKey("refused_status", EmptyList, "statuses by which its servers say that they have not run a request",
		statuses, func(s *Service) *[]int { return &s.RefusedStatus }),
}

var treeKeys = []keySpec[Customer]{
	newKey("weight", "1", "share of contended capacity, relative to other customers",
		number(0.001, 1000), func(c *Customer) *float64 { return &c.Weight }),
	newKey("concurrency", "0", "requests running at once per router; 0 for no limit",
		integer(0, maxCount), func(c *Customer) *int { return &c.Concurrency }),
	newKey("queue_len", "100", "requests waiting per router",
		integer(0, maxCount), func(c *Customer) *int { return &c.QueueLen }),
	newKey("queue_time", "30s", "the longest a request waits",
		duration(0, time.Hour), func(c *Customer) *time.Duration { return &c.QueueTime }),
	newKey("request_time", "10m0s", "the longest a request may take in all",
		duration(time.Millisecond, day), func(c *Customer) *time.Duration { return &c.RequestTime }),
	newKey("rate", "0", "requests a second per router; 0 for no limit",
		number(0, maxCount), func(c *Customer) *float64 { return &c.Rate }),
	newKey("burst", "20", "requests at once that the rate allows after a pause",
		integer(1, maxCount), func(c *Customer) *int { return &c.Burst }),
	newKey("models", EmptyList, "models allowed",
		names, func(c *Customer) *[]string { return &c.Models }),
	newKey("services", EmptyList, "plain services allowed, each of which needs its section",
		names, func(c *Customer) *[]string { return &c.Services }),
	newKey("retry_percent", "10", "retries allowed per pool, in percent of the successes",
		number(0, 100), func(c *Customer) *float64 { return &c.RetryPercent }),
	newKey("first_token", "0s", "objective: time to an answer's first token; 0s for none",
		duration(0, time.Hour), func(c *Customer) *time.Duration { return &c.Objective.FirstToken }),
	newKey("between_tokens", "0s", "objective: mean time between an answer's tokens; 0s for none",
		duration(0, time.Hour), func(c *Customer) *time.Duration { return &c.Objective.BetweenTokens }),
	newKey("objective_fraction", "0.95", "objective: fraction of requests that meet each of its times",
		number(0, 1), func(c *Customer) *float64 { return &c.Objective.Fraction }),
	newKey(keysKey, EmptyList, "SHA-256 sums of the customer's keys; on customers only, where it must stand",
		keyHashes, func(c *Customer) *[]KeyHash { return &c.Keys }),
}

// SectionKeys lists the keys of a kind of section.
type SectionKeys struct {
	Section string // section header with placeholders in capitals
	Keys    []Key
}

// AllKeys returns all settings keys, grouped by kind of section.
func AllKeys() []SectionKeys {
	return []SectionKeys{
		{"fleet", describe(fleetKeys)},
		{"service NAME", describe(serviceKeys)},
		{"tree/GROUP/CUSTOMER", describe(treeKeys)},
	}
}

func describe[T any](specs []keySpec[T]) []Key {
	var out []Key
	for _, s := range specs {
		out = append(out, s.Key)
	}
	return out
}

func defaults[T any](specs []keySpec[T]) T {
	var t T
	for _, s := range specs {
		s.set(&t, s.Default)
	}
	return t
}

// DefaultFleet returns the default values of the section [fleet].
func DefaultFleet() Fleet { return defaults(fleetKeys) }

// DefaultCustomer returns the default values of a customer, which apply where no
// section of its branch sets them.
func DefaultCustomer() Customer { return defaults(treeKeys) }
