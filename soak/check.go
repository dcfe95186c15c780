package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// drainBound and applyBound are the users' bounds with what a loaded machine
	// may add to a process's own time.
	drainBound = drainMs*time.Millisecond + 300*time.Millisecond
	// applyBound counts from when the store is well and the router runs.
	applyBound = applyMs*time.Millisecond + 500*time.Millisecond
	// staysLooks is how often a router is asked whether it has gone back.
	staysLooks = 5
	// backWithin is how soon service is to be back after the last fault.
	backWithin = 4 * time.Second
)

// frozen reports whether a router may not have run since begin; the lock is
// held.
func (f *fleet) frozen(r *router, begin time.Time) bool {
	return r.stopped || r.cmd == nil || r.started.After(begin) || r.thawed.After(begin)
}

// checkInForce waits until a version's own route is served by every router that
// runs all the while, and then checks that it does not go back.
func (f *fleet) checkInForce(version int) {
	begin := time.Now()
	for _, r := range f.routers {
		for !f.serves(r, version) {
			f.mu.Lock()
			excused := f.frozen(r, begin) || f.troubled.After(begin.Add(-applyBound)) || f.version > version+1
			f.mu.Unlock()
			if excused {
				break
			}
			if time.Since(begin) > applyBound {
				f.verdicts.report(inForce, "version %d is not in force at %s after %s", version, r.name, time.Since(begin).Round(time.Millisecond))
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, r := range f.routers {
		f.checkStays(r, version)
	}
}

// checkStays checks that a router that serves a version goes on doing so.
func (f *fleet) checkStays(r *router, version int) {
	begin := time.Now()
	if !f.serves(r, version) {
		return
	}
	for range staysLooks {
		time.Sleep(30 * time.Millisecond)
		status := f.ask(r, version)
		f.mu.Lock()
		replaced := f.version > version+1 || r.started.After(begin) || r.cmd == nil
		f.mu.Unlock()
		if status == http.StatusNotFound && !replaced {
			f.verdicts.report(neverBack, "version %d has gone at %s", version, r.name)
			return
		}
	}
}

// serves reports whether a router has a version's own route in force.
func (f *fleet) serves(r *router, version int) bool { return f.ask(r, version) == http.StatusOK }

// ask asks for a version's own route; 0: no answer.
func (f *fleet) ask(r *router, version int) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v%d/x", f.callers(r), version), nil)
	if err != nil {
		return 0
	}
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, fmt.Sprintf("look-%d-%d", version, time.Now().UnixNano()), "key-a", time.Second, "")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkRuns compares what the servers ran with what the callers sent and saw.
func (f *fleet) checkRuns(c *callers) (arrivals int) {
	runs := map[string]int{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range f.servers {
		ofServer := s.Runs()
		f.checkCold(s, ofServer)
		f.checkNotices(c, s)
		for _, run := range ofServer {
			f.checkEvacuated(s, run)
			sent := c.sent[run.Attempt]
			if sent == nil {
				continue // asks of the checks themselves
			}
			runs[run.Attempt]++
			f.checkRun(s, run, sent)
		}
	}
	for id, n := range runs {
		s := c.sent[id]
		arrivals += n - 1
		if s.once && n > 1 {
			f.verdicts.report(notTwice, "%s ran %d times", id, n)
		}
		if s.once && s.promised {
			f.verdicts.report(trueNotRun, "%s was answered %d and has run", id, s.status)
		}
	}
	return arrivals
}

// checkRun checks one run.
func (f *fleet) checkRun(s *server, run platformtest.Run, sent *sent) {
	if run.Customer != keys[sent.key] || run.Key != "" {
		f.verdicts.report(rightCustomer, "%s: %q, key %q", run.Attempt, run.Customer, run.Key)
	}
	if run.Target != sent.path || !run.BodyUnread && run.Body != platformtest.RecordedBody(sent.body) {
		f.verdicts.report(serverIsPassed, "%s: %s with %d bytes, sent %s with %d", run.Attempt, run.Target, len(run.Body), sent.path, len(sent.body))
	}
	if len(run.ForgedHeaders) > 0 {
		f.verdicts.report(claimsStay, "%s: %v", run.Attempt, run.ForgedHeaders)
	}
	late := run.At.Sub(s.left)
	if !s.left.IsZero() && late > drainBound && !f.storeWasTroubled(s.left) {
		f.verdicts.report(drained, "%s reached %s %s after its leaving", run.Attempt, s.ID, late.Round(time.Millisecond))
	}
}

// storeWasTroubled reports whether the store failed around a moment: bounds that
// count from its report do not hold then.
func (f *fleet) storeWasTroubled(at time.Time) bool {
	for _, span := range f.troubles {
		if at.After(span.from.Add(-drainBound)) && at.Before(span.to.Add(drainBound+time.Second)) {
			return true
		}
	}
	return false
}

// checkBack checks that service is back after the last fault.
func (f *fleet) checkBack(c *callers) {
	if !f.allReady(backWithin) {
		f.verdicts.report(serviceBack, "a router is not ready %s after the last fault", backWithin)
		return
	}
	time.Sleep(backWithin / 2)
	ok, all := c.ok.Load(), c.all.Load()
	time.Sleep(backWithin / 2)
	ok, all = c.ok.Load()-ok, c.all.Load()-all
	if ok*10 < all*8 {
		f.verdicts.report(serviceBack, "%d of %d requests succeed", ok, all)
	}
}
