package offload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/rendezvous"
)

const (
	// initialTunnels is how many tunnels are opened first: the failure of one receiver breaks a
	// quarter of the relayed connections. maxTunnels bounds the descriptors and buffers.
	initialTunnels = 4
	maxTunnels     = 16
	// growInterval is the minimum time between two tunnels that are added because a connection found no
	// credit: the new tunnel's credit has arrived by then.
	growInterval = 20 * time.Millisecond
	// demandPeriod is how long after the last connection that was to be relayed tunnels are still
	// wanted.
	demandPeriod = time.Second
	// idleTimeout is how long a tunnel may go without streams before it is closed, unless tunnels are
	// needed.
	idleTimeout = 10 * time.Second
	// awakePeriod is how long after its last stream a receiver still repeats its credit. It is
	// shorter than the second for which the receiver does so, by more than a message takes.
	awakePeriod = 900 * time.Millisecond
	// quietTimeout is the silence of a receiver, which repeats its credit at least every 50 ms, after
	// which it gets no new streams, and silentTimeout that after which it has failed.
	quietTimeout  = 150 * time.Millisecond
	silentTimeout = time.Second
	// maxSilenceStep is the longest time between two looks at the tunnels that counts as silence of
	// the receivers. In a longer one this host itself had no processor.
	maxSilenceStep = 50 * time.Millisecond
	// Receivers that failed are left out for minBackoff, doubled with each further failure.
	minBackoff = 2 * time.Second
	maxBackoff = 30 * time.Second
	// minCores stands for the cores of a router that are not known yet.
	minCores = 0.01
)

// Candidate is a live router of this data centre.
type Candidate struct {
	Addr  string  // control address
	Cores float64 // processor time; 0: unknown
}

// Reason says why a tunnel is closed.
type Reason string

// Reasons for closing a tunnel.
const (
	Idle     Reason = "idle"     // without streams for a while
	Silent   Reason = "silent"   // its receiver sends nothing any more
	Lost     Reason = "lost"     // its receiver is no longer among the candidates
	Stopping Reason = "stopping" // its receiver takes no more streams, and the last one has ended
)

// Tunnel is the state of a tunnel to a receiver.
type Tunnel struct {
	Addr    string
	credit  uint32 // streams that the receiver allows, since the tunnel was opened
	opened  uint32 // streams opened so far
	streams int    // streams that the receiver has not ended
	goAway  bool   // the receiver takes no more streams
	blocked bool   // too many bytes wait to be written
	lost    bool   // the receiver is no candidate any more
	lastUse time.Time
	silence time.Duration // of the receiver, while it is expected to repeat its credit
}

// remaining returns how many more streams may be opened.
func (t *Tunnel) remaining() uint32 {
	if t.opened >= t.credit {
		return 0
	}
	return t.credit - t.opened
}

// usable reports whether the tunnel takes another stream.
func (t *Tunnel) usable() bool {
	return t.remaining() > 0 && !t.goAway && !t.blocked && !t.lost && t.silence < quietTimeout
}

// awake reports whether the receiver repeats its credit.
func (t *Tunnel) awake(now time.Time) bool {
	return t.streams > 0 || now.Sub(t.lastUse) < awakePeriod
}

// failure is the state of a receiver that failed.
type failure struct {
	backoff time.Duration
	until   time.Time
}

// Closing is a tunnel to be closed.
type Closing struct {
	Tunnel *Tunnel
	Reason Reason
}

// Pool holds the tunnels of a sender. It is not safe for concurrent use.
type Pool struct {
	self       uint64 // hash of the own address
	candidates []Candidate
	tunnels    []*Tunnel
	dialling   map[string]bool
	failures   map[string]failure
	wanted     int
	neededAt   time.Time // when a connection was last to be relayed
	grownAt    time.Time // when the last tunnel was opened or wanted
	polledAt   time.Time
}

// New returns the tunnels of the router with the given address.
func New(self string) *Pool {
	return &Pool{
		self:     xxhash.Sum64String(self),
		dialling: map[string]bool{},
		failures: map[string]failure{},
		wanted:   initialTunnels,
	}
}

// SetCandidates sets the live routers of the data centre other than this one.
func (p *Pool) SetCandidates(list []Candidate) {
	type scored struct {
		Candidate
		score float64
	}
	ranked := make([]scored, 0, len(list))
	for _, c := range list {
		ranked = append(ranked, scored{c, p.score(c)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.Addr, b.Addr))
	})
	p.candidates = p.candidates[:0]
	for _, c := range ranked {
		p.candidates = append(p.candidates, c.Candidate)
	}
	for _, t := range p.tunnels {
		t.lost = !p.isCandidate(t.Addr)
	}
	maps.DeleteFunc(p.failures, func(addr string, _ failure) bool { return !p.isCandidate(addr) })
}

// isCandidate reports whether the address is that of a candidate.
func (p *Pool) isCandidate(addr string) bool {
	return slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Addr == addr })
}

// score returns the weight of a candidate for this router in rendezvous hashing: the probability
// that it ranks first is proportional to its cores.
func (p *Pool) score(c Candidate) float64 {
	const mantissaBits = 53
	hash := rendezvous.Score(xxhash.Sum64String(c.Addr), p.self) >> (64 - mantissaBits)
	uniform := (float64(hash) + 0.5) / (1 << mantissaBits)
	return -max(c.Cores, minCores) / math.Log(uniform)
}

// Needed records that a connection is to be relayed.
func (p *Pool) Needed(now time.Time) {
	if now.Sub(p.neededAt) >= demandPeriod {
		p.wanted = max(initialTunnels, p.lasting())
	}
	p.neededAt = now
}

// IsNeeded reports whether connections were to be relayed lately.
func (p *Pool) IsNeeded(now time.Time) bool { return p.NeededWithin(now, demandPeriod) }

// NeededWithin reports whether a connection was to be relayed less than d ago.
func (p *Pool) NeededWithin(now time.Time, d time.Duration) bool {
	return !p.neededAt.IsZero() && now.Sub(p.neededAt) < d
}

// Assign returns the tunnel that gets the next connection, which counts as a stream of it from now
// on: the one with the most remaining credit. It returns nil if there is no credit.
func (p *Pool) Assign(now time.Time) *Tunnel {
	var best *Tunnel
	for _, t := range p.tunnels {
		if t.usable() && (best == nil || t.remaining() > best.remaining()) {
			best = t
		}
	}
	if best == nil {
		p.recordNoCredit(now)
		return nil
	}
	if !best.awake(now) {
		best.silence = 0
	}
	best.opened++
	best.streams++
	best.lastUse = now
	return best
}

// HasCredit reports whether a connection could be assigned.
func (p *Pool) HasCredit() bool {
	return slices.ContainsFunc(p.tunnels, (*Tunnel).usable)
}

// recordNoCredit wants one more tunnel for each growInterval in which a connection found no credit.
func (p *Pool) recordNoCredit(now time.Time) {
	if p.lasting() < min(p.wanted, len(p.candidates)) {
		return // the wanted ones are still being opened
	}
	if now.Sub(p.grownAt) >= growInterval && p.wanted < maxTunnels {
		p.grownAt = now
		p.wanted++
	}
}

// Unassign takes back an assignment of which the receiver has not been told.
func (p *Pool) Unassign(t *Tunnel) {
	t.opened--
	t.streams--
}

// StreamEnded records that a stream of the tunnel has ended at its receiver.
func (p *Pool) StreamEnded(t *Tunnel) { t.streams-- }

// Dials returns the addresses to which tunnels are to be opened now. Each must be reported by
// Connected or Failed.
func (p *Pool) Dials(now time.Time) (addrs []string) {
	if !p.IsNeeded(now) {
		return nil
	}
	for _, c := range p.candidates {
		if p.lasting()+len(p.dialling) >= p.wanted || len(p.tunnels)+len(p.dialling) >= maxTunnels {
			break
		}
		if p.dialling[c.Addr] || p.find(c.Addr) != nil || now.Before(p.failures[c.Addr].until) {
			continue
		}
		p.dialling[c.Addr] = true
		addrs = append(addrs, c.Addr)
	}
	return addrs
}

// lasting returns the number of tunnels other than those that end with their last stream.
func (p *Pool) lasting() (n int) {
	for _, t := range p.tunnels {
		if !t.goAway && !t.lost {
			n++
		}
	}
	return n
}

// find returns the tunnel to a receiver; nil: there is none.
func (p *Pool) find(addr string) *Tunnel {
	i := slices.IndexFunc(p.tunnels, func(t *Tunnel) bool { return t.Addr == addr })
	if i < 0 {
		return nil
	}
	return p.tunnels[i]
}

// Connected returns the new tunnel to a receiver.
func (p *Pool) Connected(addr string, now time.Time) *Tunnel {
	delete(p.dialling, addr)
	t := &Tunnel{Addr: addr, lost: !p.isCandidate(addr), lastUse: now}
	p.tunnels = append(p.tunnels, t)
	p.grownAt = now
	return t
}

// DialFailed leaves a receiver out for a while to which no tunnel could be opened.
func (p *Pool) DialFailed(addr string, now time.Time) {
	delete(p.dialling, addr)
	p.leaveOut(addr, now)
}

// Failed removes a tunnel that broke, and leaves its receiver out for a while.
func (p *Pool) Failed(t *Tunnel, now time.Time) {
	p.remove(t)
	p.leaveOut(t.Addr, now)
}

// leaveOut starts or doubles the backoff of a receiver.
func (p *Pool) leaveOut(addr string, now time.Time) {
	backoff := min(max(2*p.failures[addr].backoff, minBackoff), maxBackoff)
	p.failures[addr] = failure{backoff: backoff, until: now.Add(backoff)}
}

// remove removes a tunnel.
func (p *Pool) remove(t *Tunnel) {
	p.tunnels = slices.DeleteFunc(p.tunnels, func(o *Tunnel) bool { return o == t })
}

// Received records that a receiver has sent something.
func (p *Pool) Received(t *Tunnel) { t.silence = 0 }

// SetCredit records the credit that a receiver has granted. A receiver that grants credit has
// recovered from its failures.
func (p *Pool) SetCredit(t *Tunnel, total uint32) {
	t.credit = total
	delete(p.failures, t.Addr)
}

// GoAway records that a receiver takes no more streams. It is left out once the tunnel has ended.
func (p *Pool) GoAway(t *Tunnel) { t.goAway = true }

// SetBlocked records whether too many bytes wait to be written to the tunnel.
func (p *Pool) SetBlocked(t *Tunnel, blocked bool) { t.blocked = blocked }

// Poll returns the tunnels to be closed, which are removed. It is called after everything that has
// arrived was recorded.
func (p *Pool) Poll(now time.Time) (closing []Closing) {
	step := min(now.Sub(p.polledAt), maxSilenceStep)
	p.polledAt = now
	for _, t := range p.tunnels {
		if t.awake(now) {
			t.silence += step
		}
		if reason := p.closeReason(t, now); reason != "" {
			closing = append(closing, Closing{t, reason})
		}
	}
	for _, c := range closing {
		p.remove(c.Tunnel)
		if c.Reason == Silent || c.Reason == Stopping {
			p.leaveOut(c.Tunnel.Addr, now)
		}
	}
	return closing
}

// closeReason returns why a tunnel is to be closed; empty: it isn't.
func (p *Pool) closeReason(t *Tunnel, now time.Time) Reason {
	switch {
	case t.silence >= silentTimeout:
		return Silent
	case t.streams > 0:
		return ""
	case t.goAway:
		return Stopping
	case t.lost:
		return Lost
	case now.Sub(t.lastUse) >= idleTimeout && !p.IsNeeded(now):
		return Idle
	}
	return ""
}

// Tunnels returns the number of open tunnels.
func (p *Pool) Tunnels() int { return len(p.tunnels) }
