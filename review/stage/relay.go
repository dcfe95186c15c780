package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// rollbackSlack is the bound rollbackSlackMs of the deployment.
	rollbackSlack = 250 * time.Millisecond
	// burstSize clients connect at the same moment, every burstGap.
	burstSize = 14
	burstGap  = 25 * time.Millisecond
	// A version follows each versionGap, for as long as the store turns one machine away.
	versionGap    = time.Second
	versions      = 8
	relayServices = 3
	statusWork    = 15 * time.Millisecond
	statusLimit   = 800 * time.Millisecond
)

// sending is one attempt with the version of the configuration that handled it.
type sending struct {
	answer
	version int // 0: no server ran it
	ranAt   time.Time
}

// playRelay has the store turn one of two machines of a zone away, while versions of the configuration
// come and many clients connect to the other. It reports whether the other regresses.
func playRelay(st *stage, trouble bool) (bool, error) {
	l := newLedger()
	var names []string
	for v := range versions + 1 {
		name := fmt.Sprintf("app%d", v+1)
		names = append(names, name)
		for i := range relayServices {
			if _, err := st.newServer(fmt.Sprintf("i-%s-%d", name, i+1), name, "ba-norte", statusWork, l); err != nil {
				return false, err
			}
		}
	}
	putVersion := func(v int) {
		st.store.PutConfig(platformtest.Config(v, []platformtest.Route{
			{Prefix: "/status/", Kind: "safe", Service: names[v-1], MaxAttempts: 2, Timeout: statusLimit},
		}, nil, names, map[string]string{key: "hule930"}))
		st.note("the store has acknowledged version %d: /status/ is at %s", v, names[v-1])
	}
	putVersion(1)
	var away atomic.Bool
	turning := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if away.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		st.store.ServeHTTP(w, r)
	})
	plain, turned := st.serveStore(st.store), st.serveStore(turning)
	if err := st.startRouters([]string{"ba-norte", "ba-norte", "ba-centro"}, []string{plain, turned, plain}); err != nil {
		return false, err
	}
	a := st.routers[0]
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var sendings []answer
	var stop atomic.Bool
	var bursts, callers sync.WaitGroup
	bursts.Go(func() {
		for n := 0; !stop.Load(); n++ {
			for i := range burstSize {
				callers.Go(func() {
					c, err := dialCaller(a.front())
					if err != nil {
						return
					}
					defer c.close()
					got := c.send(http.MethodGet, "/status/job", fmt.Sprintf("s%05d-%02d", n, i), key, 1500*time.Millisecond, "")
					mu.Lock()
					sendings = append(sendings, got)
					mu.Unlock()
				})
			}
			time.Sleep(burstGap)
		}
	})
	time.Sleep(time.Second)
	if trouble {
		away.Store(true)
		st.note("the store turns %s away from now on", st.routers[1].name)
	}
	time.Sleep(300 * time.Millisecond)
	for v := 2; v <= versions+1; v++ {
		putVersion(v)
		time.Sleep(versionGap)
	}
	away.Store(false)
	st.note("the store turns nobody away")
	time.Sleep(time.Second)
	stop.Store(true)
	bursts.Wait()
	callers.Wait()
	return judgeVersions(st, l, sendings, a.name), nil
}

// judgeVersions checks that a request sent later than rollbackSlack after a server saw the effect of a
// version is not run as only an older one allows.
func judgeVersions(st *stage, l *ledger, answers []answer, name string) bool {
	var all []sending
	seen := map[int]time.Time{} // by version: when a server first saw its effect
	statuses := map[int]int{}
	for _, a := range answers {
		s := sending{answer: a}
		statuses[a.status]++
		if runs := l.of(a.attempt); len(runs) > 0 {
			_, _ = fmt.Sscanf(strings.TrimPrefix(runs[0].service, "app"), "%d", &s.version)
			s.ranAt = runs[0].at
			if at, known := seen[s.version]; !known || s.ranAt.Before(at) {
				seen[s.version] = s.ranAt
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(x, y sending) int { return x.sent.Compare(y.sent) })
	broken := 0
	latest := time.Duration(0)
	for _, s := range all {
		st.note("client sent %s to %s at %.4f: status %d, ran by version %d", s.attempt, name, s.sent.Sub(st.began).Seconds(), s.status, s.version)
		if s.version == 0 {
			continue
		}
		for v, at := range seen {
			if late := s.sent.Sub(at); v > s.version && late > rollbackSlack {
				broken++
				latest = max(latest, late)
				st.note("CONFIG: %s was sent %.1f ms after a server saw version %d, and ran as version %d", s.attempt, late.Seconds()*1000, v, s.version)
				break
			}
		}
	}
	st.note("%d attempts, statuses %v, %d handled as an older version, the latest %v after", len(all), statuses, broken, latest)
	fmt.Printf("%d attempts, statuses %v, CONFIG %d, latest %v\n", len(all), statuses, broken, latest)
	return broken > 0
}
