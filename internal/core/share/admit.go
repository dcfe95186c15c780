package share

import (
	"slices"
	"sort"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// grantScanInterval is the time between two scans for grants without
// keep-alives.
const grantScanInterval = 250 * time.Millisecond

// untrackedProbeFactor is how much more often a server is probed while it runs
// requests whose end this router will not be told of.
const untrackedProbeFactor = 5

// pauseThreshold is the time between two ticks from which on the process is
// assumed to have been paused.
const pauseThreshold = time.Second

// registrationExpiry is how long a registration is kept that the entry does not
// repeat.
const registrationExpiry = 4 * registrationRefresh

// admitter allocates the slots of the servers that this router owns.
type admitter struct {
	n            *Node
	pools        map[msg.PoolID]*admitPool
	poolsByID    []*admitPool // sorted by ID
	servers      map[msg.ServerID]*poolServer
	ownedServers []*poolServer // sorted by ID
	grants       map[uint64]*grantRecord
	entries      map[msg.RouterID]*entryPeer
	lastSeq      uint64
	dirty        bool
	scanAt       time.Duration
	sweepAt      time.Duration
	stats        Stats
	tickAt       time.Duration  // time of the last tick
	unconfirmed  []*grantRecord // sent and not known to be confirmed
}

// grantRecord is a grant that has not ended.
type grantRecord struct {
	seq         uint64
	server      *poolServer
	account     *account
	reg         *registeredQueue
	entry       msg.RouterID
	charged     msg.Cost
	estimated   msg.Cost // cost estimated at the grant
	at          time.Duration
	unconfirmed bool          // sent to another router and not confirmed yet
	resendAt    time.Duration // when to send it again unless confirmed
	resendDelay time.Duration // doubles with each resend
	keptAliveAt time.Duration // time of the last keep-alive
}

// entryPeer is an admitter's state of an entry router.
type entryPeer struct {
	incarnation uint64
	regs        map[uint64]*registeredQueue
	grants      map[uint64]*grantRecord
}

func newAdmitter(n *Node) admitter {
	return admitter{
		n:       n,
		pools:   map[msg.PoolID]*admitPool{},
		servers: map[msg.ServerID]*poolServer{},
		grants:  map[uint64]*grantRecord{},
		entries: map[msg.RouterID]*entryPeer{},
	}
}

func (a *admitter) pool(id msg.PoolID) *admitPool {
	p, ok := a.pools[id]
	if !ok {
		p = &admitPool{
			id: id, plainService: id.IsService(),
			accounts: map[msg.CustomerID]*account{}, byHash: map[uint64]*account{},
		}
		a.pools[id] = p
		a.poolsByID = append(a.poolsByID, p)
		sort.Slice(a.poolsByID, func(i, j int) bool { return a.poolsByID[i].id < a.poolsByID[j].id })
	}
	return p
}

// assign determines which servers this router owns.
func (a *admitter) assign() {
	for _, s := range a.servers {
		s.owned = false
	}
	for _, id := range a.n.servers {
		if a.n.members.owner(ownerOfServer, string(id)) != a.n.cfg.ID {
			continue
		}
		s, ok := a.servers[id]
		if !ok {
			s = &poolServer{id: id}
			a.servers[id] = s
		}
		s.owned = true
	}
	a.ownedServers = a.ownedServers[:0]
	for id, s := range a.servers {
		switch {
		case s.owned:
			a.ownedServers = append(a.ownedServers, s)
		case s.outstanding == 0:
			delete(a.servers, id)
		default:
			s.reported = false // needs a new report if the server comes back to this router
		}
	}
	sort.Slice(a.ownedServers, func(i, j int) bool { return a.ownedServers[i].id < a.ownedServers[j].id })
	a.groupPools()
	a.probe()
}

// groupPools determines which owned servers hold which pools.
func (a *admitter) groupPools() {
	for _, p := range a.poolsByID {
		p.servers = p.servers[:0]
		p.slots = 0
	}
	for _, s := range a.ownedServers {
		for _, id := range s.pools {
			p := a.pool(id)
			p.servers = append(p.servers, s)
			if !s.leaving {
				p.slots += s.limit.slots
			}
		}
	}
	a.dirty = true
}

func (a *admitter) membersChanged() {
	for id, e := range a.entries {
		i, ok := a.n.members.byID[id]
		switch {
		case !ok:
			a.dropRegs(e)
		case e.incarnation < a.n.members.list[i].Incarnation:
			a.restarted(e, a.n.members.list[i].Incarnation)
		}
	}
	for _, p := range a.poolsByID {
		p.lastCapacity = Capacity{Pool: p.id}
	}
	a.assign()
}

// handleLoadReport applies a server's load report.
func (a *admitter) handleLoadReport(r LoadReport) {
	s := a.servers[r.Server]
	if s == nil || !s.owned {
		return
	}
	slots, leaving := s.limit.slots, s.leaving
	s.applyReport(a.n.now, r)
	a.dirty = true
	if slots == r.Slots && leaving == r.Leaving && samePools(s.pools, r.Pools) {
		return
	}
	s.pools = append([]msg.PoolID(nil), r.Pools...)
	a.groupPools()
}

func samePools(a, b []msg.PoolID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// noteEntry records the entry's incarnation; a new one holds none of the
// earlier one's grants. It returns false for a late message of an earlier
// incarnation.
func (a *admitter) noteEntry(from msg.RouterID, m *Message) bool {
	e := a.entries[from]
	if e == nil {
		e = &entryPeer{regs: map[uint64]*registeredQueue{}, grants: map[uint64]*grantRecord{}}
		a.entries[from] = e
	}
	if e.incarnation < m.Incarnation {
		a.restarted(e, m.Incarnation)
	}
	return e.incarnation == m.Incarnation
}

func (a *admitter) restarted(e *entryPeer, incarnation uint64) {
	e.incarnation = incarnation
	a.dropRegs(e)
	for _, g := range sortedGrants(e.grants) {
		a.endGrant(g)
	}
}

func (a *admitter) dropRegs(e *entryPeer) {
	for q, r := range e.regs {
		delete(e.regs, q)
		r.account.dropReg(r)
	}
}

func (c *account) dropReg(r *registeredQueue) {
	for i, x := range c.regs {
		if x == r {
			c.regs = append(c.regs[:i], c.regs[i+1:]...)
			break
		}
	}
	c.setWaiting(c.waiting - r.count)
}

// handleRegistration applies a registration.
func (a *admitter) handleRegistration(from msg.RouterID, m *Message, reg Registration) {
	r := a.findRegistration(from, reg)
	if r == nil || m.Seq < r.seq {
		return
	}
	c := r.account
	r.seq, r.slots, r.at = m.Seq, reg.AdmitterSlots, a.n.now
	c.usedAt = a.n.now
	if reg.Weight > 0 {
		c.weight = reg.Weight
	}
	if m.ReceiverIncarnation == a.n.cfg.Incarnation {
		r.dropSeen(m.HighestGrantSeen)
	}
	was := r.count
	r.count = max(0, reg.Count-len(r.unseen))
	c.setWaiting(c.waiting + r.count - was)
	a.dirty = true
}

// findRegistration returns the queue that the registration refers to, and
// creates it if needed. It returns nil if the queue is unknown and the
// registration does not name its pool; the entry is then asked for a full one.
func (a *admitter) findRegistration(from msg.RouterID, reg Registration) *registeredQueue {
	e := a.entries[from]
	if r := e.regs[reg.QueueID]; r != nil {
		return r
	}
	if reg.Pool == "" {
		m := a.n.messageTo(from)
		m.UnknownQueues = append(m.UnknownQueues, reg.QueueID)
		return nil
	}
	c := a.pool(reg.Pool).account(reg.Customer)
	r := &registeredQueue{entry: from, queue: reg.QueueID, account: c, avoid: reg.Avoid}
	e.regs[reg.QueueID] = r
	c.regs = append(c.regs, r)
	return r
}

// grantEnded removes an ended grant from the unseen ones.
func (r *registeredQueue) grantEnded(seq uint64) {
	if i, ok := slices.BinarySearch(r.unseen, seq); ok {
		r.unseen = slices.Delete(r.unseen, i, i+1)
	}
}

func (r *registeredQueue) dropSeen(seen uint64) {
	i := 0
	for i < len(r.unseen) && r.unseen[i] <= seen {
		i++
	}
	r.unseen = r.unseen[i:]
}

// handleRelease takes back a slot and corrects the charge to the actual cost.
func (a *admitter) handleRelease(from msg.RouterID, release Release) {
	g := a.grants[release.Seq]
	if g == nil || g.entry != from {
		return
	}
	res := Result{
		Cost:  release.Cost,
		First: time.Duration(release.FirstTokenMs) * time.Millisecond,
		Total: time.Duration(release.TotalMs) * time.Millisecond,
		Busy:  release.Flags&releaseOverloaded != 0, Leaving: release.Flags&releaseLeaving != 0,
	}
	a.stats.Returned++
	g.account.charge(res.Cost - g.charged)
	a.endGrant(g)
	if release.Flags&releaseUnused != 0 {
		return
	}
	g.server.limit.applyResult(a.n.now, g.at, res)
	if res.Leaving {
		g.server.leaving = true
		a.groupPools()
	}
	if g.account.pool.plainService && res.Total > 0 {
		g.server.recordCall(a.n.now-g.at, res.Total)
	}
	if !res.Busy && !res.Leaving {
		a.stats.recordEnd(g.estimated, res.Cost)
		g.account.mean.add(float64(res.Cost))
		g.account.pool.mean.add(float64(res.Cost))
	}
}

// endGrant ends a grant without changing the charge.
func (a *admitter) endGrant(g *grantRecord) {
	delete(a.grants, g.seq)
	delete(a.entries[g.entry].grants, g.seq)
	g.reg.grantEnded(g.seq)
	g.server.addOutstanding(a.n.now, -1)
	a.dirty = true
}

// handleKeepAlive applies an entry's keep-alive: grants that the entry has seen
// and does not hold have ended.
func (a *admitter) handleKeepAlive(from msg.RouterID, m *Message) {
	e := a.entries[from]
	costs := make(map[uint64]msg.Cost, len(m.KeepAlive.Seqs))
	for i, seq := range m.KeepAlive.Seqs {
		cost := msg.Cost(0)
		if i < len(m.KeepAlive.Costs) {
			cost = m.KeepAlive.Costs[i]
		}
		costs[seq] = cost
	}
	for _, g := range sortedGrants(e.grants) {
		cost, ok := costs[g.seq]
		switch {
		case ok:
			g.keptAliveAt, g.unconfirmed = a.n.now, false
			if cost > g.charged {
				g.account.charge(cost - g.charged)
				g.charged = cost
			}
		case g.seq <= m.HighestGrantSeen:
			a.endGrant(g)
		}
	}
}

func sortedGrants(m map[uint64]*grantRecord) []*grantRecord {
	list := make([]*grantRecord, 0, len(m))
	for _, g := range m {
		list = append(list, g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].seq < list[j].seq })
	return list
}

// tick ends grants without keep-alives, requests load reports, and tells the
// directories about capacity.
func (a *admitter) tick() {
	a.extendAfterPause()
	a.resendGrants()
	if a.n.now >= a.scanAt {
		a.scanAt = a.n.now + grantScanInterval
		for _, g := range sortedGrants(a.grants) {
			if a.n.now-g.keptAliveAt >= a.n.cfg.GrantTimeout {
				a.stats.Expired++
				a.endGrant(g)
			}
		}
	}
	if a.n.now >= a.sweepAt {
		a.sweepAt = a.n.now + registrationExpiry/4
		a.sweep()
	}
	a.probe()
	a.sendCapacities()
}

// extendAfterPause extends all grants by the time that this process was paused,
// since it could not receive keep-alives then.
func (a *admitter) extendAfterPause() {
	pause := a.n.now - a.tickAt
	a.tickAt = a.n.now
	if pause < pauseThreshold {
		return
	}
	for _, g := range a.grants {
		g.keptAliveAt += pause
	}
}

// resendGrants resends unconfirmed grants. The entry ignores duplicates.
func (a *admitter) resendGrants() {
	list := a.unconfirmed[:0]
	for _, g := range a.unconfirmed {
		if !g.unconfirmed || a.grants[g.seq] != g {
			continue
		}
		list = append(list, g)
		if a.n.now >= g.resendAt {
			a.stats.Resent++
			g.resendDelay *= 2
			g.resendAt = a.n.now + g.resendDelay
			a.sendGrant(g)
		}
	}
	clear(a.unconfirmed[len(list):])
	a.unconfirmed = list
}

// sweep deletes registrations that the entry has not repeated for long, and
// idle accounts.
func (a *admitter) sweep() {
	for _, e := range a.entries {
		for q, r := range e.regs {
			if a.n.now-r.at > registrationExpiry {
				delete(e.regs, q)
				r.account.dropReg(r)
			}
		}
	}
	for _, p := range a.poolsByID {
		a.n.tree.forgetIdleAccounts(p)
	}
}

// probe requests the load reports that are due.
func (a *admitter) probe() {
	for _, s := range a.ownedServers {
		if a.n.now < s.nextProbeAt {
			continue
		}
		s.nextProbeAt = a.n.now + a.n.cfg.ProbeInterval
		if s.untracked > 0 {
			s.nextProbeAt = a.n.now + a.n.cfg.ProbeInterval/untrackedProbeFactor
		}
		a.n.ready.Probe = append(a.n.ready.Probe, s.id)
	}
}

// sendCapacities tells each pool's directory about this router's slots: when
// their number changes, when some become idle, and periodically.
func (a *admitter) sendCapacities() {
	for _, p := range a.poolsByID {
		c := Capacity{Pool: p.id, Slots: p.slots, ListVersion: a.n.entry.pool(p.id).version}
		if len(p.heap) == 0 {
			c.Idle = p.idle()
		}
		if !a.capacityDue(p, c) {
			continue
		}
		p.lastCapacity, p.capacitySentAt = c, a.n.now
		m := a.n.messageTo(a.n.members.owner(ownerOfPool, string(p.id)))
		m.Capacities = append(m.Capacities, c)
	}
}

func (a *admitter) capacityDue(p *admitPool, c Capacity) bool {
	since := a.n.now - p.capacitySentAt
	switch {
	case c.Slots != p.lastCapacity.Slots:
		return true
	case c.Slots == 0:
		return false
	case c.Idle > 0 && p.lastCapacity.Idle == 0:
		return since >= idleNoticeInterval
	}
	return since >= capacityInterval
}

// idle returns how many slots are free for the pool.
func (p *admitPool) idle() int {
	n := 0
	for _, s := range p.servers {
		n += max(0, s.freeSlots())
	}
	return n
}
