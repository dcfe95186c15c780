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
