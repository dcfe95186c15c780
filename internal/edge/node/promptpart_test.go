package node

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
)

// These tests guard against a part of prompts that crashes every server which begins to answer a
// request with it. In the incident no two of those requests were alike, so that the hash of a request's
// content never repeated: 16 and 18 servers crashed, each with everything that it was running.

const (
	crashingPart = "dead"
	// crashesOfAPart is the number of crashes up to which requests with the part may be sent, and
	// sentAfterwards how many may be sent later than blockDelay after that crash.
	crashesOfAPart = 5
	sentAfterwards = 3
	blockDelay     = 3 * time.Second
)

// crashOnPart makes the servers crash in the first event of an answer to a prompt with the part, and
// restart soon after under the same ID. It returns when they crashed.
func crashOnPart(f *fleet) *crashTimes {
	times := &crashTimes{}
	for _, s := range f.servers {
		s.CrashOnPart = func(id string) bool { return id == crashingPart }
		s.OnCrash = func() {
			times.add(time.Now())
			if s.Restart() == nil {
				f.store.PutServer(s, "ready")
			}
		}
	}
	return times
}

// crashTimes holds when servers crashed.
type crashTimes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashTimes) add(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, at)
}

func (c *crashTimes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// afterBlock returns how many crashes came later than blockDelay after the one at which requests with
// the part must stop.
func (c *crashTimes) afterBlock() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.at {
		if len(c.at) >= crashesOfAPart && at.After(c.at[crashesOfAPart-1].Add(blockDelay)) {
			n++
		}
	}
	return n
}

// sendPrompt sends a stream request with the prompt parts and a last part and a body of its own.
func (m *member) sendPrompt(parts string) int {
	id := m.fleet.attemptCount.Add(1)
	return m.sendRequest("/s/x", fmt.Sprintf("p-%d", id), fmt.Sprintf("body %d", id), fmt.Sprintf("%s,own%d:100", parts, id))
}

// load sends sound requests to the routers until it is stopped, which share the first part and one of
// the others with the requests that crash servers.
func load(routers ...*member) (stop func()) {
	var stopped atomic.Bool
	var wg sync.WaitGroup
	for i, m := range routers {
		for worker := range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; !stopped.Load(); n++ {
					m.sendPrompt(fmt.Sprintf("route:600,s%d:100", (i+worker+n)%5))
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
	}
	return func() {
		stopped.Store(true)
		wg.Wait()
	}
}

// sendCrashingPart sends requests with the part to the routers in turn for the time, the part at one
// place or another.
func sendCrashingPart(d time.Duration, routers ...*member) {
	prompts := []string{"route:600," + crashingPart + ":50", "route:600," + crashingPart + ":50,s1:100", "route:600,s2:100," + crashingPart + ":50", crashingPart + ":50,s3:100"}
	for n, begin := 0, time.Now(); time.Since(begin) < d; n++ {
		routers[n%len(routers)].sendPrompt(prompts[n%len(prompts)])
		time.Sleep(60 * time.Millisecond)
	}
}

// assertServed checks that sound requests with the parts that stood beside the crashing one are served.
func assertServed(t *testing.T, routers ...*member) {
	t.Helper()
	for _, m := range routers {
		for n := range 5 {
			assert.Equal(t, m.sendPrompt(fmt.Sprintf("route:600,s%d:100", n)), http.StatusOK)
		}
		assert.Equal(t, m.sendPrompt("other:50"), http.StatusOK)
	}
}

func TestPromptPartThatCrashesServersIsBlocked(t *testing.T) {
	for name, closeDelimited := range map[string]bool{"chunked answers": false, "close-delimited answers": true} {
		t.Run(name, func(t *testing.T) { testPartIsBlocked(t, closeDelimited) })
	}
	t.Run("by a router without the others", testPartIsBlockedByIsolatedRouter)
}

func testPartIsBlocked(t *testing.T, closeDelimited bool) {
	network := 61
	if closeDelimited {
		network = 62
	}
	f := newFleet(t, network)
	crashes := crashOnPart(f)
	for _, s := range f.servers {
		s.CloseDelimited = closeDelimited
	}
	ip := func(n int) string { return fmt.Sprintf("127.0.%d.%d", network, n) }
	a := f.start(ip(1))
	b := f.start(ip(2), a)
	c := f.start(ip(3), a, b)
	awaitEachOther(t, a, b, c)
	stop := load(a, b, c)
	defer stop()
	sendCrashingPart(6*time.Second, a, b, c)
	assert.Assert(t, crashes.count() >= 3, "the part has crashed only %d servers", crashes.count())
	assert.Assert(t, crashes.afterBlock() <= sentAfterwards, "%d crashes later than %s after the fifth, %d in all", crashes.afterBlock(), blockDelay, crashes.count())
	assertServed(t, a, b, c)

	t.Run("by a router that starts later", func(t *testing.T) {
		before := crashes.count()
		d := f.start(ip(4), a)
		sendCrashingPart(time.Second, d)
		assert.Equal(t, crashes.count(), before)
		assertServed(t, d)
	})
	t.Run("after all routers were killed", func(t *testing.T) {
		edgetest.Until(t, "the block in the store", func() bool { return f.store.RowCount("windscale-blocked-parts") > 0 })
		before := crashes.count()
		for _, m := range []*member{a, b, c} {
			m.kill()
		}
		a.start(b)
		b.start(a)
		sendCrashingPart(time.Second, a, b)
		assert.Equal(t, crashes.count(), before)
		assertServed(t, a, b)
	})
}

// A router that exchanges no messages with the others reads from the store what they blocked, as soon
// as a server crashes under one of its own requests.
func testPartIsBlockedByIsolatedRouter(t *testing.T) {
	f := newFleet(t, 63)
	crashes := crashOnPart(f)
	a := f.start("127.0.63.1")
	b := f.start("127.0.63.2", a)
	awaitEachOther(t, a, b)
	isolated := &member{fleet: f, ip: "127.0.63.3", dataCentre: "dc", ports: reservePorts(t, "127.0.63.3")}
	isolated.start()
	stop := load(a, b, isolated)
	defer stop()
	sendCrashingPart(5*time.Second, a, b)
	before := crashes.count()
	sendCrashingPart(4*time.Second, isolated)
	assert.Assert(t, crashes.count() <= before+sentAfterwards, "%d more", crashes.count()-before)
	assertServed(t, a, isolated)
}
