package share

import (
	"slices"
	"sort"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// graceScan is between two looks for grants that are not kept alive.
const graceScan = 250 * time.Millisecond

// foreignProbes is how much more often a server is asked while something runs
// there of which this router will hear no end.
const foreignProbes = 5

// longPause is a time between two ticks that means the process was paused.
const longPause = time.Second

// regIdle is how long a registration is kept that the entry does not repeat.
const regIdle = 4 * waitRefresh

// admitter hands out the slots of the servers that are this router's.
type admitter struct {
	n       *Node
	pools   map[msg.PoolID]*admitPool
	order   []*admitPool // by ID
	servers map[msg.ServerID]*poolServer
	mine    []*poolServer // owned, by ID
	grants  map[uint64]*grantRecord
	entries map[msg.RouterID]*entryPeer
	lastSeq uint64
	dirty   bool
	scanAt  time.Duration
	sweepAt time.Duration
	stats   Stats
	tickAt  time.Duration  // the last tick
	unsure  []*grantRecord // sent and not known to be confirmed
}

// grantRecord is a grant that has not ended.
type grantRecord struct {
	seq     uint64
	server  *poolServer
	account *account
	reg     *registration
	entry   msg.RouterID
	charged msg.Cost
	guess   msg.Cost // estimated at the grant
	at      time.Duration
	sent    bool          // to another router, and not confirmed yet
	resend  time.Duration // when to send it again if it is not confirmed
	wait    time.Duration // from one resending to the next
	alive   time.Duration // last known to be wanted
}

// entryPeer is an entry router as this admitter knows it.
type entryPeer struct {
	incarnation uint64
	regs        map[uint64]*registration
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
			id: id, plain: id.IsService(),
			accounts: map[msg.CustomerID]*account{}, byHash: map[uint64]*account{},
		}
		a.pools[id] = p
		a.order = append(a.order, p)
		sort.Slice(a.order, func(i, j int) bool { return a.order[i].id < a.order[j].id })
	}
	return p
}

// assign works out anew which servers are this router's.
func (a *admitter) assign() {
	for _, s := range a.servers {
		s.owned = false
	}
	for _, id := range a.n.servers {
		if a.n.members.owner(ownServer, string(id)) != a.n.cfg.ID {
			continue
		}
		s, ok := a.servers[id]
		if !ok {
			s = &poolServer{id: id}
			a.servers[id] = s
		}
		s.owned = true
	}
	a.mine = a.mine[:0]
	for id, s := range a.servers {
		switch {
		case s.owned:
			a.mine = append(a.mine, s)
		case s.held == 0:
			delete(a.servers, id)
		default:
			s.reported = false // asked anew, should it come back
		}
	}
	sort.Slice(a.mine, func(i, j int) bool { return a.mine[i].id < a.mine[j].id })
	a.regroup()
	a.probe()
}

// regroup works out which servers hold which pools.
func (a *admitter) regroup() {
	for _, p := range a.order {
		p.sorted = p.sorted[:0]
		p.slots = 0
	}
	for _, s := range a.mine {
		for _, id := range s.pools {
			p := a.pool(id)
			p.sorted = append(p.sorted, s)
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
	for _, p := range a.order {
		p.told = Have{Pool: p.id}
	}
	a.assign()
}

// load takes a server's load report.
func (a *admitter) load(r LoadReport) {
	s := a.servers[r.Server]
	if s == nil || !s.owned {
		return
	}
	slots, leaving := s.limit.slots, s.leaving
	s.report(a.n.now, r)
	a.dirty = true
	if slots == r.Slots && leaving == r.Leaving && samePools(s.pools, r.Pools) {
		return
	}
	s.pools = append([]msg.PoolID(nil), r.Pools...)
	a.regroup()
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

// entrySeen notes an entry's incarnation. A new one holds nothing of what the
// earlier held. It is false for a late message of an earlier incarnation.
func (a *admitter) entrySeen(from msg.RouterID, m *Message) bool {
	e := a.entries[from]
	if e == nil {
		e = &entryPeer{regs: map[uint64]*registration{}, grants: map[uint64]*grantRecord{}}
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
		a.release(g)
	}
}

func (a *admitter) dropRegs(e *entryPeer) {
	for q, r := range e.regs {
		delete(e.regs, q)
		r.account.dropReg(r)
	}
}

func (c *account) dropReg(r *registration) {
	for i, x := range c.regs {
		if x == r {
			c.regs = append(c.regs[:i], c.regs[i+1:]...)
			break
		}
	}
	c.setWaiting(c.waiting - r.count)
}

// wait takes a registration.
func (a *admitter) wait(from msg.RouterID, m *Message, w Wait) {
	r := a.registration(from, w)
	if r == nil || m.Seq < r.seq {
		return
	}
	c := r.account
	r.seq, r.slots, r.at = m.Seq, w.Slots, a.n.now
	c.usedAt = a.n.now
	if w.Weight > 0 {
		c.weight = w.Weight
	}
	if m.Of == a.n.cfg.Incarnation {
		r.forgetSeen(m.Seen)
	}
	was := r.count
	r.count = max(0, w.Count-len(r.pending))
	c.setWaiting(c.waiting + r.count - was)
	a.dirty = true
}

// registration finds or makes the registration that the entry means. It is
// nil if the entry must say more.
func (a *admitter) registration(from msg.RouterID, w Wait) *registration {
	e := a.entries[from]
	if r := e.regs[w.Queue]; r != nil {
		return r
	}
	if w.Pool == "" {
		m := a.n.to(from)
		m.Forgot = append(m.Forgot, w.Queue)
		return nil
	}
	c := a.pool(w.Pool).account(w.Customer)
	r := &registration{entry: from, queue: w.Queue, account: c, avoid: w.Avoid}
	e.regs[w.Queue] = r
	c.regs = append(c.regs, r)
	return r
}

// forget takes a grant that has ended out of the pending ones.
func (r *registration) forget(seq uint64) {
	if i, ok := slices.BinarySearch(r.pending, seq); ok {
		r.pending = slices.Delete(r.pending, i, i+1)
	}
}

func (r *registration) forgetSeen(seen uint64) {
	i := 0
	for i < len(r.pending) && r.pending[i] <= seen {
		i++
	}
	r.pending = r.pending[i:]
}

// end takes a slot back and corrects the charge.
func (a *admitter) end(from msg.RouterID, end End) {
	g := a.grants[end.Seq]
	if g == nil || g.entry != from {
		return
	}
	res := Result{
		Cost:  end.Cost,
		First: time.Duration(end.First) * time.Millisecond,
		Total: time.Duration(end.Total) * time.Millisecond,
		Busy:  end.Flags&endBusy != 0, Leaving: end.Flags&endLeaving != 0,
	}
	a.stats.Returned++
	g.account.charge(res.Cost - g.charged)
	a.release(g)
	if end.Flags&endReturned != 0 {
		return
	}
	g.server.limit.ended(a.n.now, g.at, res)
	if res.Leaving {
		g.server.leaving = true
		a.regroup()
	}
	if g.account.pool.plain && res.Total > 0 {
		g.server.called(a.n.now-g.at, res.Total)
	}
	if !res.Busy && !res.Leaving {
		a.stats.ended(g.guess, res.Cost)
		g.account.mean.add(float64(res.Cost))
		g.account.pool.mean.add(float64(res.Cost))
	}
}

// release ends a grant; the charge stays.
func (a *admitter) release(g *grantRecord) {
	delete(a.grants, g.seq)
	delete(a.entries[g.entry].grants, g.seq)
	g.reg.forget(g.seq)
	g.server.hold(a.n.now, -1)
	a.dirty = true
}

// held takes an entry's keep-alive: grants that it has seen and does not hold
// are over.
func (a *admitter) held(from msg.RouterID, m *Message) {
	e := a.entries[from]
	still := make(map[uint64]msg.Cost, len(m.Held.Seqs))
	for i, seq := range m.Held.Seqs {
		cost := msg.Cost(0)
		if i < len(m.Held.Costs) {
			cost = m.Held.Costs[i]
		}
		still[seq] = cost
	}
	for _, g := range sortedGrants(e.grants) {
		cost, ok := still[g.seq]
		switch {
		case ok:
			g.alive, g.sent = a.n.now, false
			if cost > g.charged {
				g.account.charge(cost - g.charged)
				g.charged = cost
			}
		case g.seq <= m.Seen:
			a.release(g)
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

// tick releases grants that are not kept alive, asks for load reports and
// tells the directories what is idle.
func (a *admitter) tick() {
	a.forgivePause()
	a.resendGrants()
	if a.n.now >= a.scanAt {
		a.scanAt = a.n.now + graceScan
		for _, g := range sortedGrants(a.grants) {
			if a.n.now-g.alive >= a.n.cfg.GrantTimeout {
				a.stats.Expired++
				a.release(g)
			}
		}
	}
	if a.n.now >= a.sweepAt {
		a.sweepAt = a.n.now + regIdle/4
		a.sweep()
	}
	a.probe()
	a.tellDirectories()
}

// forgivePause keeps the grants of which a paused process could not hear: its
// own pause is not the entries' silence.
func (a *admitter) forgivePause() {
	pause := a.n.now - a.tickAt
	a.tickAt = a.n.now
	if pause < longPause {
		return
	}
	for _, g := range a.grants {
		g.alive += pause
	}
}

// resendGrants sends again what has not been confirmed. The entry ignores what
// it has got.
func (a *admitter) resendGrants() {
	list := a.unsure[:0]
	for _, g := range a.unsure {
		if !g.sent || a.grants[g.seq] != g {
			continue
		}
		list = append(list, g)
		if a.n.now >= g.resend {
			a.stats.Resent++
			g.wait *= 2
			g.resend = a.n.now + g.wait
			a.send(g)
		}
	}
	clear(a.unsure[len(list):])
	a.unsure = list
}

// sweep forgets registrations that have long been empty or not repeated.
func (a *admitter) sweep() {
	for _, e := range a.entries {
		for q, r := range e.regs {
			if a.n.now-r.at > regIdle {
				delete(e.regs, q)
				r.account.dropReg(r)
			}
		}
	}
	for _, p := range a.order {
		a.n.tree.forgetIdleAccounts(p)
	}
}

// probe asks for the load reports that are due.
func (a *admitter) probe() {
	for _, s := range a.mine {
		if a.n.now < s.probeAt {
			continue
		}
		s.probeAt = a.n.now + a.n.cfg.ProbeInterval
		if s.foreign > 0 {
			s.probeAt = a.n.now + a.n.cfg.ProbeInterval/foreignProbes
		}
		a.n.ready.Probe = append(a.n.ready.Probe, s.id)
	}
}

// tellDirectories tells each pool's directory of this router's slots: when
// they change, when some become idle, and now and then.
func (a *admitter) tellDirectories() {
	for _, p := range a.order {
		h := Have{Pool: p.id, Slots: p.slots, Version: a.n.entry.pool(p.id).version}
		if len(p.heap) == 0 {
			h.Idle = p.idle()
		}
		if !a.due(p, h) {
			continue
		}
		p.told, p.toldAt = h, a.n.now
		m := a.n.to(a.n.members.owner(ownPool, string(p.id)))
		m.Haves = append(m.Haves, h)
	}
}

func (a *admitter) due(p *admitPool, h Have) bool {
	since := a.n.now - p.toldAt
	switch {
	case h.Slots != p.told.Slots:
		return true
	case h.Slots == 0:
		return false
	case h.Idle > 0 && p.told.Idle == 0:
		return since >= idleInterval
	}
	return since >= haveInterval
}

// idle is how many slots are free for the pool.
func (p *admitPool) idle() int {
	n := 0
	for _, s := range p.sorted {
		n += max(0, s.free())
	}
	return n
}
