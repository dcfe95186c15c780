package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// workload generates requests independently of how they are served: the k-th
// request of a stream always has the same cost.
type workload struct {
	routers, servers, slots, pools int
	customers, backlogged          int
	rate                           float64 // cost per second and slot
	lightLoad                      float64 // part of the capacity that customers without a backlog use
	weights                        []float64
	cost                           float64 // mean cost of every request; 0: differs by customer
	prefix                         string  // of the pools' IDs; "": models
	pausing                        bool    // every other pair of customers alternates between load and pauses
}

// stream generates a customer's requests at one entry for one pool.
type stream struct {
	customer int
	pool     msg.PoolID
	entry    int
	weight   float64
	mean     float64
	rng      *rand.Rand
	count    int
}

func (s *stream) next() *simRequest {
	s.count++
	cost := math.Ceil(s.mean * min(4, 0.1+s.rng.ExpFloat64()))
	return &simRequest{
		Request: share.Request{
			ID:       msg.RequestID(fmt.Sprint(s.pool, "/", s.customer, "/", s.entry, "/", s.count)),
			Pool:     s.pool,
			Customer: s.id(),
			Weight:   s.weight,
		},
		entry: msg.RouterID(fmt.Sprintf("r%d", s.entry)),
		cost:  cost,
	}
}

func (s *stream) id() msg.CustomerID {
	return msg.CustomerID(fmt.Sprintf("group%d/customer%d", s.customer%10, s.customer))
}

func poolName(i int) msg.PoolID { return msg.PoolID(fmt.Sprintf("m/model-%d", i)) }

func (w workload) pool(i int) msg.PoolID {
	if w.prefix == "" {
		return poolName(i)
	}
	return msg.PoolID(fmt.Sprint(w.prefix, i))
}

// streams returns the backlogged customers' streams and how many requests each
// keeps outstanding. Every backlogged customer uses two pools; half of the
// customers use one router each, the others up to eight.
func (w workload) streams() ([]*stream, int) {
	rng := rand.New(rand.NewPCG(7, 7))
	var out []*stream
	for c := range w.backlogged {
		entries := 1
		if c%2 == 1 {
			entries = min(8, w.routers)
		}
		first := rng.IntN(w.routers)
		mean := 100 + 500*rng.Float64()
		if w.cost > 0 {
			mean = w.cost
		}
		for k := range min(2, w.pools) {
			for e := range entries {
				out = append(out, w.stream(c, (c+k)%w.pools, (first+e*5)%w.routers, mean))
			}
		}
	}
	perPool := w.servers * w.slots / w.pools
	share := perPool * w.pools / (2 * w.backlogged)
	return out, max(8, 4*share)
}

func (w workload) stream(c, pool, entry int, mean float64) *stream {
	return &stream{
		customer: c, pool: w.pool(pool), entry: entry, mean: mean,
		weight: w.weights[c%len(w.weights)],
		rng:    rand.New(rand.NewPCG(uint64(c), uint64(pool*1000+entry))),
	}
}

// target is a scheduler that a workload runs on.
type target interface {
	arrive(*simRequest)
	after(time.Duration, func())
	run(time.Duration)
	service() map[simKey]float64
	onDone(func(*simRequest))
	busyTime() time.Duration
}

// result is the outcome of a run.
type result struct {
	gap      float64 // largest gap; cost over weight
	gapMean  float64 // mean over the samples
	util     float64
	longest  time.Duration // wait of a customer without a backlog
	finished int
}

const warmUp = 20 * time.Second

// play runs the workload and measures it after the warm-up.
func (w workload) play(t target, from, length time.Duration) result {
	var res result
	streams, outstanding := w.streams()
	by := map[msg.RequestID]*stream{}
	send := func(s *stream) {
		r := s.next()
		by[r.ID] = s
		t.arrive(r)
	}
	lightLoad := map[msg.RequestID]bool{}
	t.onDone(func(r *simRequest) {
		res.finished++
		if s := by[r.ID]; s != nil {
			delete(by, r.ID)
			t.after(w.pause(s, r.arrived), func() { send(s) })
		}
		if lightLoad[r.ID] {
			delete(lightLoad, r.ID)
			if r.arrived > from+warmUp {
				res.longest = max(res.longest, r.began-r.arrived)
			}
		}
	})
	entries := map[simKey]int{}
	customerOf := map[simKey]int{}
	for _, s := range streams {
		entries[simKey{s.pool, s.id()}]++
		customerOf[simKey{s.pool, s.id()}] = s.customer
	}
	begin := rand.New(rand.NewPCG(3, 3))
	for _, s := range streams {
		for range max(2, outstanding/entries[simKey{s.pool, s.id()}]) {
			t.after(time.Duration(begin.Int64N(int64(2*time.Second))), func() { send(s) })
		}
	}
	w.startLightLoad(t, lightLoad)
	t.run(from + warmUp)
	base, busy := t.service(), t.busyTime()
	for k, c := range customerOf {
		if w.pauses(c) {
			delete(entries, k)
		}
	}
	gaps := newGapMeter(entries, base)
	n := 0
	for at := from + warmUp; at < from+length; {
		at += 100 * time.Millisecond
		t.run(at)
		got := t.service()
		gaps.add(got)
		res.gapMean += spread(got, base, entries)
		n++
	}
	res.gap = gaps.largest
	res.gapMean /= float64(n)
	res.util = float64(t.busyTime()-busy) / float64(length-warmUp) / float64(w.servers*w.slots)
	return res
}

const pauseTime = 15 * time.Second

func (w workload) pauses(customer int) bool { return w.pausing && customer%4 < 2 }

// pause returns how long the stream delays its next request.
func (w workload) pause(s *stream, arrived time.Duration) time.Duration {
	if !w.pauses(s.customer) || (int(arrived/pauseTime)+s.customer)%2 == 0 {
		return 0
	}
	return pauseTime
}

// startLightLoad sends the requests of customers without a backlog, at random.
func (w workload) startLightLoad(t target, ids map[msg.RequestID]bool) {
	rng := rand.New(rand.NewPCG(9, 9))
	const mean = 100.0
	gap := mean * 1.1 / (w.lightLoad * float64(w.servers*w.slots) * w.rate) * float64(time.Second)
	n := 0
	var next func()
	next = func() {
		n++
		c := w.backlogged + rng.IntN(max(1, w.customers-w.backlogged))
		s := w.stream(c, rng.IntN(w.pools), rng.IntN(w.routers), mean)
		s.rng, s.count = rng, n
		r := s.next()
		ids[r.ID] = true
		t.arrive(r)
		t.after(time.Duration(rng.ExpFloat64()*gap), next)
	}
	if w.lightLoad > 0 && w.customers > w.backlogged {
		t.after(0, next)
	}
}

// gapMeter finds the largest difference between the service of two customers of
// a pool in any interval in which both were backlogged.
type gapMeter struct {
	keys    []simKey
	values  []float64
	pairs   []gapPair
	largest float64
}

type gapPair struct {
	a, b      int // indexes in keys
	low, high float64
}

func newGapMeter(of map[simKey]int, base map[simKey]float64) *gapMeter {
	m := new(gapMeter)
	for k := range of {
		m.keys = append(m.keys, k)
	}
	m.values = make([]float64, len(m.keys))
	for a := range m.keys {
		for b := range a {
			if m.keys[a].pool == m.keys[b].pool {
				d := base[m.keys[a]] - base[m.keys[b]]
				m.pairs = append(m.pairs, gapPair{a, b, d, d})
			}
		}
	}
	return m
}

func (m *gapMeter) add(service map[simKey]float64) {
	for i, k := range m.keys {
		m.values[i] = service[k]
	}
	for i := range m.pairs {
		p := &m.pairs[i]
		d := m.values[p.a] - m.values[p.b]
		p.low, p.high = min(p.low, d), max(p.high, d)
		m.largest = max(m.largest, p.high-p.low)
	}
}

// spread returns the difference between the most and the least served since
// base.
func spread(now, base map[simKey]float64, of map[simKey]int) float64 {
	low, high := map[msg.PoolID]float64{}, map[msg.PoolID]float64{}
	for k := range of {
		v := now[k] - base[k]
		if l, ok := low[k.pool]; !ok || v < l {
			low[k.pool] = v
		}
		high[k.pool] = max(high[k.pool], v)
	}
	gap := 0.0
	for p := range low {
		gap = max(gap, high[p]-low[p])
	}
	return gap
}

func (f *fleet) onDone(do func(*simRequest)) { f.done = do }

func (f *fleet) busyTime() time.Duration {
	var sum time.Duration
	for _, s := range f.servers {
		s.use(f.now)
		sum += s.busy
	}
	return sum
}

// referenceScheduler divides the slots into groups, each of which gives a free
// slot at once to its least served waiting customer. With one group per pool it
// is an ideal central queue. With one group per router and pool it is the naive
// design, in which each router allocates a fixed part of the slots
// independently.
type referenceScheduler struct {
	fleet
	perRouter bool
	groups    map[string]*slotGroup
	w         workload
	active    map[*simRequest]bool
	busy      time.Duration
}

type slotGroup struct {
	slots, running int
	mean           runningMean
	queues         map[msg.CustomerID]*groupQueue
}

type groupQueue struct {
	reqs    []*simRequest
	charged float64
	mean    runningMean
}

type runningMean struct {
	value float64
	any   bool
}

func (m *runningMean) add(v float64) {
	if !m.any {
		m.value, m.any = v, true
	}
	m.value += (v - m.value) / 8
}

func newReferenceScheduler(w workload, perRouter bool) *referenceScheduler {
	c := &referenceScheduler{perRouter: perRouter, groups: map[string]*slotGroup{}, w: w, active: map[*simRequest]bool{}}
	c.served = map[simKey]float64{}
	return c
}

func (c *referenceScheduler) groupOf(r *simRequest) *slotGroup {
	name, slots := string(r.Pool), c.w.servers*c.w.slots/c.w.pools
	if c.perRouter {
		name += string(r.entry)
		slots = max(1, slots/c.w.routers)
	}
	x, ok := c.groups[name]
	if !ok {
		x = &slotGroup{slots: slots, queues: map[msg.CustomerID]*groupQueue{}}
		c.groups[name] = x
	}
	return x
}

func (c *referenceScheduler) arrive(r *simRequest) {
	r.arrived = c.now
	x := c.groupOf(r)
	q := x.queues[r.Customer]
	if q == nil {
		q = new(groupQueue)
		x.queues[r.Customer] = q
	}
	if len(q.reqs) == 0 {
		q.charged = max(q.charged, x.floor())
	}
	q.reqs = append(q.reqs, r)
	c.grant(x)
}

func (x *slotGroup) floor() float64 {
	if q := x.leastServed(); q != nil {
		return q.charged
	}
	return 0
}

func (x *slotGroup) leastServed() *groupQueue {
	var best *groupQueue
	for _, q := range x.queues {
		if len(q.reqs) > 0 && (best == nil || q.charged < best.charged ||
			(q.charged == best.charged && q.reqs[0].ID < best.reqs[0].ID)) {
			best = q
		}
	}
	return best
}

func (c *referenceScheduler) grant(x *slotGroup) {
	for x.running < x.slots {
		q := x.leastServed()
		if q == nil {
			return
		}
		r := q.reqs[0]
		q.reqs = q.reqs[1:]
		x.running++
		estimate := q.mean.value
		if !q.mean.any {
			estimate = max(1, x.mean.value)
		}
		q.charged += estimate / r.Weight
		r.began = c.now
		c.active[r] = true
		c.after(time.Duration(r.cost/c.w.rate*float64(time.Second)), func() {
			x.running--
			q.charged += (r.cost - estimate) / r.Weight
			q.mean.add(r.cost)
			x.mean.add(r.cost)
			c.served[keyOf(r)] += r.cost / r.Weight
			c.busy += c.now - r.began
			delete(c.active, r)
			c.done(r)
			c.grant(x)
		})
	}
}

func (c *referenceScheduler) service() map[simKey]float64 {
	out := map[simKey]float64{}
	for k, v := range c.served {
		out[k] = v
	}
	for r := range c.active {
		out[keyOf(r)] += (c.now - r.began).Seconds() * c.w.rate / r.Weight
	}
	return out
}

func (c *referenceScheduler) busyTime() time.Duration {
	sum := c.busy
	for r := range c.active {
		sum += c.now - r.began
	}
	return sum
}

// simKey identifies a customer in a pool.
type simKey struct {
	pool     msg.PoolID
	customer msg.CustomerID
}

func keyOf(r *simRequest) simKey { return simKey{r.Pool, r.Customer} }

// service returns the service of each customer, including the finished part of
// running requests.
func (f *fleet) service() map[simKey]float64 {
	out := map[simKey]float64{}
	for k, v := range f.served {
		out[k] = v
	}
	for _, s := range f.servers {
		for _, r := range s.running {
			out[keyOf(r)] += (f.now - r.began).Seconds() * s.rate / r.Weight
		}
	}
	return out
}
