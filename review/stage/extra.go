package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	host = platformtest.Host
	key  = "asnmgkcuyj8pjbvk9m68"

	// One of the three servers is disturbed, in spells. The site file's largest dose of `garble`, `extra
	// late` is 0.6 of the servers, 0.03 of their answers and 5 s.
	extraShare = 0.03
	extraFor   = 5 * time.Second
	extraPause = 2 * time.Second
	playFor    = 80 * time.Second
	warmup     = 2 * time.Second
	// appCallers together send the deployment's 25.6 confirmations a second.
	appCallers  = 12
	appPause    = 445 * time.Millisecond
	appDeadline = 1500 * time.Millisecond
	appTimeout  = 800 * time.Millisecond
	appWork     = 15 * time.Millisecond
	// backAfter is the least time after which a client comes back to another router after a promise.
	backAfter = 100 * time.Millisecond
)

// confirming is a client that sends confirmations on a kept connection, and comes back once, on a new
// connection and with a new attempt, after a promise that its request has not run.
type confirming struct {
	st      *stage
	number  int
	conn    *caller
	answers []answer
}

func (c *confirming) send(r *router, attempt, body string) answer {
	if c.conn == nil {
		conn, err := dialCaller(r.front())
		if err != nil {
			c.st.note("client %d: %v", c.number, err)
			return answer{attempt: attempt, err: err}
		}
		c.conn = conn
	}
	a := c.conn.send("POST", "/confirm/stop", attempt, key, appDeadline, body)
	c.st.note("client %d sent %s (%s) to %s: status %d, seal %q, err %v", c.number, attempt, body, r.name, a.status, a.seal, a.err)
	c.answers = append(c.answers, a)
	if a.err != nil || a.closes {
		c.leave()
	}
	return a
}

func (c *confirming) leave() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

func (c *confirming) run(stop *atomic.Bool) {
	defer c.leave()
	for n := 0; !stop.Load(); n++ {
		r := c.st.routers[c.number%len(c.st.routers)]
		body := fmt.Sprintf("stop %02d-%04d", c.number, n)
		a := c.send(r, fmt.Sprintf("c%02d-%04d", c.number, n), body)
		if promisesNotRun(a.status) {
			c.leave()
			time.Sleep(backAfter)
			c.send(c.st.routers[(c.number+1)%len(c.st.routers)], fmt.Sprintf("c%02d-%04d-again", c.number, n), body)
			c.leave()
		}
		time.Sleep(appPause)
	}
}

// playExtra has a backend server send additional bytes after complete responses. It reports whether a
// request that isn't idempotent was answered as not run although it ran.
func playExtra(st *stage, trouble bool) (bool, error) {
	l := newLedger()
	zones := []string{"ba-norte", "ba-centro", "ba-sur"}
	var servers []*server
	for i, zone := range zones {
		s, err := st.newServer(fmt.Sprintf("i-app-%d", i+1), "app", zone, appWork, l)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	st.store.PutConfig(platformtest.Config(1, []platformtest.Route{
		{Prefix: "/confirm/", Kind: "unsafe", Service: "app", MaxAttempts: 1, Timeout: appTimeout},
	}, nil, []string{"app"}, map[string]string{key: "hule930"}))
	store := st.serveStore(st.store)
	if err := st.startRouters(zones, []string{store, store, store}); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var wg sync.WaitGroup
	var clients []*confirming
	for i := range appCallers {
		c := &confirming{st: st, number: i}
		clients = append(clients, c)
		wg.Go(func() { c.run(&stop) })
	}
	time.Sleep(warmup)
	for end := time.Now().Add(playFor); time.Now().Before(end); {
		if trouble {
			servers[0].setExtraShare(extraShare)
		}
		time.Sleep(extraFor)
		servers[0].setExtraShare(0)
		time.Sleep(extraPause)
	}
	stop.Store(true)
	wg.Wait()
	var answers []answer
	for _, c := range clients {
		answers = append(answers, c.answers...)
	}
	return judgeRuns(st, l, answers), nil
}

// judgeRuns checks the rules REFUSED and TWICE for requests that aren't idempotent, and reports whether
// REFUSED was broken.
func judgeRuns(st *stage, l *ledger, answers []answer) bool {
	served, twice, refused := 0, 0, 0
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
		runs := l.of(a.attempt)
		if promisesNotRun(a.status) && len(runs) > 0 {
			refused++
			st.note("REFUSED: %s was answered %d and ran at %s at %.4f", a.attempt, a.status, runs[0].server, runs[0].at.Sub(st.began).Seconds())
		}
		if len(runs) > 1 {
			twice++
			st.note("TWICE: %s ran at %s and at %s", a.attempt, runs[0].server, runs[1].server)
		}
	}
	doubled := 0
	stops := map[string]int{}
	for _, r := range l.all() {
		if stops[r.body]++; stops[r.body] == 2 {
			doubled++
			st.note("confirmed twice, since the client came back after the promise: %s", r.body)
		}
	}
	result := fmt.Sprintf("%d attempts, %d served, %d answered as not run and ran (REFUSED), %d ran more than once (TWICE), %d stops confirmed twice", len(answers), served, refused, twice, doubled)
	st.note("%s", result)
	fmt.Println(result)
	return refused > 0
}
