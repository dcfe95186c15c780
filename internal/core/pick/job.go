package pick

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Outcome is what became of a request at a server.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota + 1 // a complete response
	Unreached                    // no connection could be opened
	Failed                       // no answer, a broken one, or a failure of the server
	Full                         // it said that it has no room
	Leaving                      // another server has the address, or it is gone
	Abandoned                    // the caller left or the time was over: no verdict
)

const (
	// learn is the weight of one observation of a speed.
	learn = 0.1
	// slowest bounds how slow a server counts.
	slowest = 12.0
	// reactMs is added to both sides of a comparison of times, the way there and
	// back: a few milliseconds more say nothing of a server.
	reactMs = 10.0
)

// Job is one request at one server.
type Job struct {
	s       *server
	service string
	prompt  Request
	missing int64
	memory  int64
	began   time.Time
	expect  time.Duration
	ahead   float64 // tokens to be read before its first token; negative: not told by its time
	started bool
	ended   bool
}

// Slowness is how long the first event or the answer took that came then, against what was expected.
func (j *Job) Slowness(first time.Time) float64 {
	took := float64(first.Sub(j.began)) / float64(time.Millisecond)
	return (took + reactMs) / (float64(j.expect)/float64(time.Millisecond) + reactMs)
}

// Started reports whether a first event or an end has been noted.
func (j *Job) Started() bool { return j.started }

// Begin notes that the request is sent to the chosen server. It returns nil if
// the server is not known any more.
func (p *Picker) Begin(req Request, c Choice, now time.Time) *Job {
	s := p.servers[c.Server.ID]
	if s == nil {
		return nil
	}
	j := &Job{
		s:       s,
		service: req.Service,
		prompt:  req,
		began:   now,
		expect:  c.Wait + c.Own,
		ahead:   c.ahead,
	}
	if s.engine != nil {
		j.missing = int64(c.Missing)
		j.memory = int64(routing.PromptSize(req.Prompt) + req.Out)
		p.keys = keys(p.keys[:0], req.Prompt)
		learnt := p.rate(req.Service)
		p.advertise(s, req.Prompt, p.keys, learnt, now)
		p.noteSent(s, p.keys, now)
		learnt.filled += float64(c.Missing + req.Out)
	}
	if len(s.waiting) == 0 {
		s.progress = now
	}
	s.waiting = append(s.waiting, j)
	s.own.Waiting += j.missing
	s.own.Memory += j.memory
	s.own.Running++
	p.usePermit(s, now)
	p.busy[s.key] = s
	if s.health.strikes > 0 {
		s.health.trying = true
	}
	return j
}

// First notes that the first event or the answer has come, and learns the
// server's speed from it.
func (p *Picker) First(j *Job, now time.Time) {
	if j.started || j.ended {
		return
	}
	p.unwait(j, now)
	j.s.answered = now
	took := float64(now.Sub(j.began)) / float64(time.Millisecond)
	ratio := j.Slowness(now)
	if j.s.engine != nil && j.ahead >= 0 {
		p.seeFirst(j.service, j.ahead, took, now)
	}
	s := j.s
	s.slow += learn * (min(ratio, slowest)*s.slow - s.slow)
	s.slow = min(max(s.slow, 1), slowest)
	if s.slow > 1 && !s.unlisted {
		p.slowed[s] = true
	} else {
		delete(p.slowed, s)
	}
}

// unwait takes the job out of those that wait for their first token.
func (p *Picker) unwait(j *Job, now time.Time) {
	if j.started {
		return
	}
	j.started = true
	s := j.s
	if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.own.Waiting -= j.missing
	s.progress = now
}

// Verdict is what an end changed in the belief about the server.
type Verdict int

// The verdicts.
const (
	Unchanged Verdict = iota
	Suspected
	Cleared
)

// End notes what became of the job.
func (p *Picker) End(j *Job, o Outcome, now time.Time) Verdict {
	if j.ended {
		return Unchanged
	}
	p.unwait(j, now)
	j.ended = true
	s := j.s
	if o == Succeeded || o == Full {
		s.answered = now
	}
	s.own.Running--
	s.own.Memory -= j.memory
	verdict := p.judge(s, o, now)
	if s.unlisted && s.own.Running == 0 && p.servers[s.ID] == s {
		p.forgetServer(s)
	}
	return verdict
}

// judge takes the outcome into the server's health.
func (p *Picker) judge(s *server, o Outcome, now time.Time) Verdict {
	switch o {
	case Succeeded:
		if s.health.worked() {
			return Cleared
		}
	case Unreached:
		s.unreached = now.Add(firstSuspicion)
		p.busy[s.key] = s
		if s.health.failed(now) {
			return Suspected
		}
	case Failed, Leaving:
		p.busy[s.key] = s
		if s.health.failed(now) {
			return Suspected
		}
	case Full:
		s.health.trying = false
		s.health.full(now)
	case Abandoned:
		s.health.trying = false
	}
	return Unchanged
}

// Late notes that the job's server should have answered by now. The job goes
// on; its end is judged as usual.
func (p *Picker) Late(j *Job, now time.Time) Verdict {
	if j.ended {
		return Unchanged
	}
	return p.judge(j.s, Failed, now)
}

// Answered returns when the server last gave an answer, or began to, to a request of this router;
// zero: never, or the server is not known.
func (p *Picker) Answered(id routing.Identity) time.Time {
	if s := p.servers[id.ID]; s != nil && s.Identity() == id {
		return s.answered
	}
	return time.Time{}
}
