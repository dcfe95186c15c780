package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

// kind is a kind of request of tpa-hq, with the figures of its sheet.
type kind struct {
	name         string
	perS         float64 // on all machines
	groupTokens  int     // of the text that a group of sessions shares
	groups       int
	sharedTokens int // of the text that the requests of a session share
	sessions     int
	ownTokens    int
	tokensOut    int
	bodyBytes    int
	deadline     time.Duration
	resumable    bool
}

var kinds = []kind{
	{"crate-plan", 74.3, 2520, 4, 3780, 263, 2890, 51, 18000, 6 * time.Second, true},
	{"claim-draft", 94.4, 341, 8, 227, 148, 1800, 24, 4700, 4 * time.Second, false},
	{"quote-chat", 76.9, 103, 20, 69, 120, 543, 279, 1400, 15 * time.Second, true},
}

const (
	tenants    = 16
	tenantSkew = 1.8
	machines   = 6
	// The third largest tenant has 7 of 100 requests. Its clients list prompts in parts of smallPart tokens.
	smallPartsTenant = 2
	hotTenantX       = 7.5
	hotTenantFor     = 6500 * time.Millisecond
	hotPause         = 8500 * time.Millisecond
	hotAfter         = 35 * time.Second
	hotTimes         = 4
	partsLength      = 98 * time.Second
	// smallPart is the length of a small part, in tokens: a block of an engine's memory.
	smallPart = 16
)

// prompt lists the parts of a prompt, each of size tokens or fewer.
type prompt struct {
	parts []string
	size  int
}

// add adds a text that is known by its name.
func (p *prompt) add(name uint64, tokens int) {
	for i := 0; tokens > 0; i++ {
		n := min(tokens, p.size)
		p.parts = append(p.parts, fmt.Sprintf("%08x:%d", uint32(name*1_000_003+uint64(i)*7919), n))
		tokens -= n
	}
}

// traffic is the clients' traffic at one machine.
type traffic struct {
	f       *fleet
	r       *router
	clients clients
	hot     atomic.Bool // one tenant sends many times its usual
	n       atomic.Int64
	tally   tally
	mu      sync.Mutex
	lost    []string // attempts that were sent on kept connections and got no byte
	sent    []sent   // all requests, in the order in which they ended
	wg      sync.WaitGroup
}

// sent is a request that a client sent, and what became of it.
type sent struct {
	attempt string
	number  int64
	kind    string
	small   bool // its prompt is listed in small parts
	at      time.Time
	answer  answer
}

// tenantShares returns the tenants' shares of the requests, the largest first.
func tenantShares() []float64 {
	var sum float64
	shares := make([]float64, tenants)
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -tenantSkew)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// run sends the requests of one kind and tenant until end.
func (t *traffic) run(k kind, tenant int, share float64, end time.Time) {
	usual := k.perS / machines * share
	for time.Now().Before(end) {
		rate := usual
		if tenant == smallPartsTenant && t.hot.Load() {
			rate *= hotTenantX
		}
		pause := time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(min(pause, 500*time.Millisecond))
		if pause > 500*time.Millisecond && rand.Float64() > 500*float64(time.Millisecond)/float64(pause) {
			continue
		}
		t.wg.Go(func() { t.one(k, tenant) })
	}
}

// one sends one request.
func (t *traffic) one(k kind, tenant int) {
	n := t.n.Add(1)
	p := prompt{size: math.MaxInt}
	if tenant == smallPartsTenant {
		p.size = smallPart
	}
	session := rand.IntN(k.sessions)
	p.add(uint64(k.deadline)+uint64(session%k.groups), k.groupTokens)
	p.add(uint64(k.deadline)*3+uint64(session), k.sharedTokens)
	p.add(rand.Uint64(), k.ownTokens)
	attempt := fmt.Sprintf("%s-%s-%d", t.r.name, k.name, n)
	at := time.Now()
	a := t.clients.send(request{
		method: http.MethodPost, path: "/" + k.name + "/2f", attempt: attempt, key: fmt.Sprintf("key-%d", tenant), deadline: k.deadline, body: make([]byte, k.bodyBytes),
		header: fmt.Sprintf("X-Windscale-Model: m\r\nX-Windscale-Token-Usage: %d,%d\r\nX-Windscale-Prompt-Prefix: %s\r\n",
			k.groupTokens+k.sharedTokens+k.ownTokens, k.tokensOut, strings.Join(p.parts, ",")),
	})
	t.tally.add(a.status, a.err)
	a.body = nil
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, sent{attempt, n, k.name, tenant == smallPartsTenant, at, a})
	if a.err != nil && a.kept && a.bytes == 0 && !a.gaveUp {
		t.lost = append(t.lost, attempt)
	}
}

// parts has one tenant, whose clients list their prompts in small parts, send many times its usual.
func parts(f *fleet, trouble bool) int {
	keys := map[string]string{}
	for i := range tenants {
		keys[fmt.Sprintf("key-%d", i)] = fmt.Sprintf("tenant%d", i)
	}
	var routes []platformtest.Route
	for _, k := range kinds {
		attempts := 1
		if k.resumable {
			attempts = 2
		}
		routes = append(routes, platformtest.Route{Prefix: "/" + k.name + "/", Kind: "streaming", Service: "planner-llm", MaxAttempts: attempts, Resumable: k.resumable, Timeout: k.deadline})
	}
	f.store.PutConfig(platformtest.Config(1, routes, []string{"planner-llm"}, nil, keys))
	if err := f.addServers("planner-llm", 18, 17, 64, 20*time.Millisecond); err != nil {
		return cannotRun
	}
	for _, s := range f.servers {
		s.PrefillPerToken = time.Second / 38700
	}
	zones := []string{"ba-norte", "ba-centro", "ba-sur"}
	for i := range machines {
		if err := f.addRouter(zones[i%len(zones)]).start(); err != nil {
			f.record.add("start: %v", err)
			return cannotRun
		}
	}
	if !f.awaitReady(10 * time.Second) {
		f.record.add("not ready within 10 s")
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	go f.limitMemory()
	end := time.Now().Add(partsLength)
	var all []*traffic
	for _, r := range f.routers {
		t := &traffic{f: f, r: r, clients: clients{addr: r.front()}}
		all = append(all, t)
		for i, share := range tenantShares() {
			for _, k := range kinds {
				go t.run(k, i, share, end)
			}
		}
	}
	go func() {
		for !f.ended() {
			for _, t := range all {
				f.record.add("%s: memory %d MB, %d requests so far", t.r.name, t.r.memoryKB()>>10, t.n.Load())
			}
			time.Sleep(5 * time.Second)
		}
	}()
	time.Sleep(hotAfter)
	for range hotTimes {
		if trouble {
			f.record.add("hot tenant: tenant%d sends %g times its usual for %v", smallPartsTenant, hotTenantX, hotTenantFor)
		}
		for _, t := range all {
			t.hot.Store(trouble)
		}
		time.Sleep(hotTenantFor)
		for _, t := range all {
			t.hot.Store(false)
		}
		time.Sleep(hotPause)
	}
	time.Sleep(time.Until(end) + time.Second)
	f.recordSent(all)
	lost, ends := 0, 0
	for _, t := range all {
		f.record.add("%s: %s; %d ends of its own, memory at most %d MB of %d", t.r.name, &t.tally, t.r.ends, t.r.peakKB>>10, memoryMB)
		lost += f.countRun(t.lost)
		ends += t.r.ends
	}
	f.record.add("requests from kept connections that a sound server ran, closed without a byte of an answer: %d (more than 3 break LOST); processes ended by themselves %d times", lost, ends)
	if lost > 3 {
		return broken
	}
	return held
}

// recordSent records each request: what was sent, where it ran and what was answered. There are too many
// for a line each.
func (f *fleet) recordSent(all []*traffic) {
	f.record.add("requests, by machine and the second in which they were sent. c12*@3+0.41: number 12 of the machine, " +
		"with the initial of its kind (c: claim-draft, p: crate-plan, q: quote-chat), its prompt in small parts (*), " +
		"run by i-planner-llm-3 (@: each run), ended after 0.41 s with a whole answer of status 200, or (!) with another status, " +
		"cut (some bytes came), none (no byte came; kept: the connection had carried an answer before), late (the client's time was over)")
	for _, t := range all {
		t.mu.Lock()
		lines := map[int][]string{}
		last := 0
		for _, q := range t.sent {
			second := int(q.at.Sub(f.record.begin).Seconds())
			lines[second] = append(lines[second], f.outcome(q))
			last = max(last, second)
		}
		ended := len(t.sent)
		t.mu.Unlock()
		f.record.add("%s: %d requests sent, %d of them ended", t.r.name, t.n.Load(), ended)
		for second := range last + 1 {
			if len(lines[second]) > 0 {
				f.record.add("%s, sent in second %d: %s", t.r.name, second, strings.Join(lines[second], " "))
			}
		}
	}
}

// outcome is a request's entry in the record.
func (f *fleet) outcome(q sent) string {
	var b strings.Builder
	letter := q.kind[:1]
	if q.kind == "crate-plan" {
		letter = "p"
	}
	fmt.Fprintf(&b, "%s%d", letter, q.number)
	if q.small {
		b.WriteByte('*')
	}
	for i, s := range f.servers {
		for range s.RunsOf(q.attempt) {
			fmt.Fprintf(&b, "@%d", i)
		}
	}
	fmt.Fprintf(&b, "+%.2f", q.answer.endedAt.Sub(q.at).Seconds())
	switch a := q.answer; {
	case a.err == nil && a.status == http.StatusOK:
	case a.err == nil:
		fmt.Fprintf(&b, "!%d", a.status)
	case a.gaveUp:
		b.WriteString("!late")
	case a.bytes > 0:
		b.WriteString("!cut")
	case a.kept:
		b.WriteString("!none,kept")
	default:
		b.WriteString("!none")
	}
	return b.String()
}

// countRun returns how many of the attempts a server ran.
func (f *fleet) countRun(attempts []string) (n int) {
	for _, attempt := range attempts {
		for _, s := range f.servers {
			if len(s.RunsOf(attempt)) > 0 {
				f.record.add("lost: %s, run by %s", attempt, s.ID)
				n++
				break
			}
		}
	}
	return n
}
