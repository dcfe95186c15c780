package main

import (
	"net/http"
	"slices"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// leavingBound is drainMs plus an allowance for the time that a caller takes to send and for a
	// loaded machine.
	leavingBound = drainMs*time.Millisecond + 300*time.Millisecond
	// backoffBound is how long after a refusal its router may still send any number of requests.
	backoffBound = 500 * time.Millisecond
	// maxBackoffRequests is how many requests a router may send from backoffBound after a refusal
	// to the end of the backoff.
	maxBackoffRequests = 2
	// reuseBound is the time since a server cancelled its shutdown after which it must have got a
	// request.
	reuseBound = 2 * time.Second
)

// linkFault is a time in which the link to a server lost or delayed data.
type linkFault struct {
	id string
	span
}

// recordLinkFault records that the link to a server is faulty until the returned function is called.
func (f *fleet) recordLinkFault(s *server) func() {
	begin := time.Now()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.linkFaults = append(f.linkFaults, linkFault{s.ID, span{begin, time.Now()}})
	}
}

// linkWasFaulty reports whether the link to a server was faulty at any time between from and to.
func (f *fleet) linkWasFaulty(id string, from, to time.Time) bool {
	for _, l := range f.linkFaults {
		if l.id == id && l.from.Before(to) && l.to.After(from) {
			return true
		}
	}
	return false
}

// leave makes a server announce that it is leaving, at first in its answers only. It reports this
// to the store after leavingBound, as it would after a store outage.
func (f *fleet) leave(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	s.SetLeaving(true)
	time.Sleep(leavingBound + x.For)
	f.replace(s)
	f.store.PutServer(s.Server, "draining")
}

// cancelShutdown makes a server announce that it is leaving, report it to the store, and then cancel
// its shutdown.
func (f *fleet) cancelShutdown(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	s.SetLeaving(true)
	time.Sleep(x.For / 2)
	f.putEntry(s, "draining")
	time.Sleep(leavingBound)
	s.SetLeaving(false)
	f.putEntry(s, "ready")
	f.mu.Lock()
	defer f.mu.Unlock()
	s.cancelled = time.Now()
	s.interruptions = append(s.interruptions, s.cancelled)
}

// state is what the entry of a server that has not left says; the fleet's lock is held.
func (s *server) state() string {
	if s.draining {
		return "draining"
	}
	return "ready"
}

// putEntry writes the store entry of a server, unless it has left.
func (f *fleet) putEntry(s *server, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.left.IsZero() {
		s.draining = state == "draining"
		f.store.PutServer(s.Server, state)
	}
}

// shed makes a server refuse half of its requests and request a backoff.
func (f *fleet) shed(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	s.SetBackoff(time.Second + x.For)
	s.SetFault(func(attempt string) platformtest.Fault {
		if len(attempt) > 0 && attempt[len(attempt)-1]%2 == 0 {
			return platformtest.Overloaded
		}
		return platformtest.NoFault
	})
	time.Sleep(x.For)
	s.SetFault(nil)
	s.SetBackoff(0)
}

// recordLeaving records the time of an answer that announces that its server is leaving.
func (c *callers) recordLeaving(r *router, h http.Header) {
	id, leaving := platformtest.Leaving(h)
	if !leaving {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := routerServer{r, id}
	c.leavingSeen[key] = append(c.leavingSeen[key], time.Now())
}

// interrupted reports whether, between from and to, the router was started, frozen or thawed, or the
// server restarted or cancelled its shutdown.
func (f *fleet) interrupted(r *router, s *server, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(slices.Concat(r.interruptions, s.interruptions), func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// checkNotices checks the requests that reached a server against its announcements, its requested
// backoffs and its cancelled shutdown; the callers' lock is held.
func (f *fleet) checkNotices(c *callers, s *server) {
	arrivals := s.Arrivals()
	used := false
	for i, a := range arrivals {
		sent := c.sent[a.Attempt]
		if sent == nil || sent.router == nil {
			continue // sent by a check or a fault
		}
		used = used || a.At.After(s.cancelled)
		f.checkLeaving(c, s, a, sent)
		f.checkBackoff(c, s, arrivals[i:], sent.router)
	}
	cutoff := time.Now().Add(-reuseBound)
	if !s.cancelled.IsZero() && s.left.IsZero() && s.cancelled.Before(cutoff) && !f.storeWasTroubled(s.cancelled.Add(-leavingBound)) && !f.storeWasTroubled(s.cancelled) && !used {
		f.verdicts.report(cancelledUsed, "%s got no request for %s", s.ID, time.Since(s.cancelled).Round(time.Millisecond))
	}
}

// checkLeaving checks that no request reached a leaving server if a caller sent it more than
// leavingBound after the request's router had passed on that the server is leaving.
func (f *fleet) checkLeaving(c *callers, s *server, a platformtest.Arrival, sent *sent) {
	if !a.Leaving {
		return
	}
	for _, seen := range c.leavingSeen[routerServer{sent.router, s.ID}] {
		if sent.at.Sub(seen) > leavingBound && !f.interrupted(sent.router, s, seen, a.At) {
			f.verdicts.report(leavingUnused, "%s reached %s from %s, %s after that router passed on the announcement", a.Attempt, s.ID, sent.router.name, a.At.Sub(seen).Round(time.Millisecond))
			return
		}
	}
}

// checkBackoff checks how many requests reached a server from a router within the backoff that the
// first of the arrivals requested, if any.
func (f *fleet) checkBackoff(c *callers, s *server, arrivals []platformtest.Arrival, r *router) {
	first := arrivals[0]
	if first.Backoff == 0 {
		return
	}
	end := first.At.Add(first.Backoff)
	n := 0
	for _, a := range arrivals[1:] {
		sent := c.sent[a.Attempt]
		if sent != nil && sent.router == r && a.At.After(first.At.Add(backoffBound)) && a.At.Before(end) {
			n++
		}
	}
	if n > maxBackoffRequests && !f.interrupted(r, s, first.At, end) && !f.linkWasFaulty(s.ID, first.At, end) {
		f.verdicts.report(backoffObeyed, "%s got %d requests from %s within a backoff of %s", s.ID, n, r.name, first.Backoff)
	}
}
