package pick

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// maxBackoff caps the backoff that a server can request, so that a wrong value can't keep
	// requests away from it for hours.
	maxBackoff = 5 * time.Minute
	// leavingRetention is how long an unlisted server counts as leaving after its last
	// announcement: its entry may reappear while it still serves requests.
	leavingRetention = 10 * time.Minute
	// leavingStaleAfter is how long the store must have listed a server as ready since its last
	// announcement that it is leaving before the mark is cleared. A server that shuts down
	// reports that to the store or stops its heartbeats well before.
	leavingStaleAfter = 30 * time.Second
)

// notice is what a server has announced about itself in answers.
type notice struct {
	leavingAt    time.Time // last announcement that it is leaving; zero: none
	backoffUntil time.Time // end of the requested backoff
	malformed    bool      // a header that describes the server could not be parsed
}

// noticeOf returns the server's notice and creates it if there is none. Notices are keyed by
// identity and kept apart from the listed servers, since an entry may lapse and reappear while
// its server is running.
func (p *Picker) noticeOf(id routing.Identity) *notice {
	n := p.notices[id]
	if n == nil {
		n = &notice{}
		p.notices[id] = n
		if p.Known(id) {
			p.servers[id.ID].notice = n
		}
	}
	return n
}

// NoteLeaving records that the server announced that it is leaving, and reports whether it was
// not yet marked as leaving.
func (p *Picker) NoteLeaving(id routing.Identity, now time.Time) bool {
	n := p.noticeOf(id)
	isNew := n.leavingAt.IsZero()
	n.leavingAt = now
	return isNew
}

// isLeaving reports whether the server is marked as leaving.
func (p *Picker) isLeaving(id routing.Identity) bool {
	n := p.notices[id]
	return n != nil && !n.leavingAt.IsZero()
}

// ReturnedServer is a server that is no longer marked as leaving.
type ReturnedServer struct {
	Server routing.Server
	Reason string // for the log
}

// clearLeaving removes the leaving mark of a server, if it has one.
func (p *Picker) clearLeaving(s routing.Server, reason string) {
	if !p.isLeaving(s.Identity()) {
		return
	}
	p.notices[s.Identity()].leavingAt = time.Time{}
	p.returned = append(p.returned, ReturnedServer{Server: s, Reason: reason})
}

// clearIfReadyAgain clears the mark of a server whose entry has changed from draining to ready,
// which means that it cancelled its shutdown. An entry that reappears as ready does not, since the
// store may have lost the report that the server is draining.
func (p *Picker) clearIfReadyAgain(s *server, previous routing.Server) {
	if previous.Identity() == s.Identity() && !s.unlisted && !previous.AcceptsRequests() && s.Server.AcceptsRequests() {
		p.clearLeaving(s.Server, "entry changed from draining to ready")
	}
}

// ClearStaleLeaving clears the marks of servers that have been listed as ready for at least
// leavingStaleAfter since their last announcement, and reports whether it cleared any. It clears
// none if followed, the time for which the store has been followed without a gap, is shorter than
// that. The change takes effect with the next call of SetServers.
func (p *Picker) ClearStaleLeaving(followed time.Duration, now time.Time) bool {
	if followed < leavingStaleAfter {
		return false
	}
	changed := false
	for id, n := range p.notices {
		if !p.isLeaving(id) || !p.Known(id) || now.Sub(n.leavingAt) < leavingStaleAfter {
			continue
		}
		if s := p.servers[id.ID]; !s.unlisted && s.Server.AcceptsRequests() && now.Sub(s.readySince) >= leavingStaleAfter {
			p.clearLeaving(s.Server, "entry stayed ready")
			changed = true
		}
	}
	return changed
}

// TakeReturned returns the servers whose mark was cleared since the last call.
func (p *Picker) TakeReturned() []ReturnedServer {
	list := p.returned
	p.returned = nil
	return list
}

// NoteBackoff records that the server requested a backoff of d, and reports whether none was
// in effect. A later request can extend a backoff but not shorten it.
func (p *Picker) NoteBackoff(id routing.Identity, d time.Duration, now time.Time) bool {
	n := p.noticeOf(id)
	isNew := !now.Before(n.backoffUntil)
	if until := now.Add(min(d, maxBackoff)); until.After(n.backoffUntil) {
		n.backoffUntil = until
	}
	return isNew
}

// inBackoff reports whether a backoff that the server requested is in effect.
func (s *server) inBackoff(now time.Time) bool {
	return s.notice != nil && now.Before(s.notice.backoffUntil)
}

// NoteMalformed records that the server sent an announcement that can't be parsed, and reports
// whether it is the first one.
func (p *Picker) NoteMalformed(id routing.Identity) bool {
	n := p.noticeOf(id)
	isNew := !n.malformed
	n.malformed = true
	return isNew
}

// Leaving returns how many listed servers are marked as leaving.
func (p *Picker) Leaving() (count int) {
	for id, n := range p.notices {
		if !n.leavingAt.IsZero() && p.Known(id) {
			count++
		}
	}
	return count
}

// InBackoff returns how many servers have requested a backoff that is still in effect.
func (p *Picker) InBackoff(now time.Time) (count int) {
	for _, n := range p.notices {
		if now.Before(n.backoffUntil) {
			count++
		}
	}
	return count
}

// forgetNotices removes notices whose backoff has expired, unless the server is listed or has
// announced within leavingRetention that it is leaving.
func (p *Picker) forgetNotices(now time.Time) {
	for id, n := range p.notices {
		keep := p.Known(id) || !n.leavingAt.IsZero() && now.Sub(n.leavingAt) < leavingRetention
		if !keep && !now.Before(n.backoffUntil) {
			delete(p.notices, id)
		}
	}
}
