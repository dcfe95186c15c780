package pick

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Outcome is the result of a request at a server.
type Outcome int

const (
	Succeeded     Outcome = iota + 1 // a complete response
	ConnectFailed                    // no connection could be opened
	Failed                           // no answer, an incomplete one, or a server error
	Full                             // the server refused the request because it was full
	ServerGone                       // another server has the address, or the server no longer exists
	Abandoned                        // the caller left or the deadline passed; says nothing about the server
)

const (
	// networkSlackMs is added to both the measured and the expected time before they are compared,
	// so that a few milliseconds on the network do not make a server count as slow.
	networkSlackMs = 10.0
)

// Job is one request at one server.
type Job struct {
	s              *server
	service        string
	request        Request
	uncachedTokens int64
	memoryTokens   int64
	began          time.Time
	expected       time.Duration
	tokensAhead    float64 // tokens processed before its first token; negative: its time does not measure the processing speed
	medianMs       float64 // see Choice
	started        bool
	released       bool
	ended          bool
}

// Slowness returns the ratio of the measured to the expected time to the first event or the
// answer, which arrived at first.
func (j *Job) Slowness(first time.Time) float64 {
	took := float64(first.Sub(j.began)) / float64(time.Millisecond)
	return (took + networkSlackMs) / (float64(j.expected)/float64(time.Millisecond) + networkSlackMs)
}

// Started reports whether the first event or the end of the job has been recorded.
func (j *Job) Started() bool { return j.started }

// Begin records that the request is sent to the chosen server. It returns nil if the server is no
// longer known.
func (p *Picker) Begin(req Request, c Choice, now time.Time) *Job {
	s := p.servers[c.Server.ID]
	if s == nil {
		return nil
	}
	j := &Job{
		s:           s,
		service:     req.Service,
		request:     req,
		began:       now,
		expected:    c.Wait + c.Processing,
		tokensAhead: c.tokensAhead,
		medianMs:    c.medianMs,
	}
	if s.engine != nil {
		j.uncachedTokens = int64(c.UncachedTokens)
		j.memoryTokens = int64(routing.PromptSize(req.Prompt) + req.MaxOutput)
		p.promptKeys = appendPartKeys(p.promptKeys[:0], req.Prompt)
		estimates := p.speedOf(req.Service)
		p.queueAdvertisements(s, req.Prompt, p.promptKeys, estimates, now)
		p.recordSentParts(s, p.promptKeys, now)
		estimates.filledTokens += float64(c.UncachedTokens + req.MaxOutput)
	}
	if len(s.awaitingFirstEvent) == 0 {
		s.lastProgress = now
	}
	s.awaitingFirstEvent = append(s.awaitingFirstEvent, j)
	s.ownLoad.PendingTokens += j.uncachedTokens
	s.ownLoad.MemoryTokens += j.memoryTokens
	s.ownLoad.Running++
	p.recordSend(s, now)
	p.busy[s.key] = s
	if s.health.failures > 0 {
		s.health.trialRunning = true
	}
	return j
}

// NoteFirstEvent records that the first event or the answer has arrived, and updates the estimates
// of the server's speed.
func (p *Picker) NoteFirstEvent(j *Job, now time.Time) {
	if j.started || j.ended {
		return
	}
	p.stopWaiting(j, now)
	j.s.lastAnswer = now
	took := float64(now.Sub(j.began)) / float64(time.Millisecond)
	if j.s.engine != nil && j.tokensAhead >= 0 {
		p.recordFirstToken(j.service, j.tokensAhead, took, now)
	}
	p.recordServerTime(j, took, now)
}

// stopWaiting removes the job from those that wait for their first event.
func (p *Picker) stopWaiting(j *Job, now time.Time) {
	if j.started {
		return
	}
	j.started = true
	s := j.s
	if i := slices.Index(s.awaitingFirstEvent, j); i >= 0 {
		s.awaitingFirstEvent = slices.Delete(s.awaitingFirstEvent, i, i+1)
	}
	s.ownLoad.PendingTokens -= j.uncachedTokens
	s.lastProgress = now
}

// HealthChange is how an outcome changed the health of a server.
type HealthChange int

const (
	Unchanged HealthChange = iota
	Suspected
	Cleared
)

// Release records that the server no longer runs the job, whose outcome is not known yet.
func (p *Picker) Release(j *Job) {
	if j.released {
		return
	}
	j.released = true
	j.s.ownLoad.Running--
	j.s.ownLoad.MemoryTokens -= j.memoryTokens
}

// End records the outcome of the job.
func (p *Picker) End(j *Job, o Outcome, now time.Time) HealthChange {
	if j.ended {
		return Unchanged
	}
	p.stopWaiting(j, now)
	j.ended = true
	s := j.s
	if o == Succeeded || o == Full {
		s.lastAnswer = now
	}
	p.Release(j)
	change := p.updateHealth(s, o, now)
	if s.unlisted && s.ownLoad.Running == 0 && p.servers[s.ID] == s {
		p.forgetServer(s)
	}
	return change
}

// updateHealth applies the outcome to the server's health.
func (p *Picker) updateHealth(s *server, o Outcome, now time.Time) HealthChange {
	switch o {
	case Succeeded:
		if s.health.recordSuccess() {
			return Cleared
		}
	case ConnectFailed:
		s.unreachableUntil = now.Add(firstSuspicion)
		p.busy[s.key] = s
		if s.health.recordFailure(now) {
			return Suspected
		}
	case Failed, ServerGone:
		p.busy[s.key] = s
		if s.health.recordFailure(now) {
			return Suspected
		}
	case Full:
		s.health.trialRunning = false
		s.health.recordFull(now)
	case Abandoned:
		s.health.trialRunning = false
	}
	return Unchanged
}

// NoteOverdue records that the job's server should have answered by now, which counts as a
// failure. The job continues, and its outcome is recorded as usual.
func (p *Picker) NoteOverdue(j *Job, now time.Time) HealthChange {
	if j.ended {
		return Unchanged
	}
	return p.updateHealth(j.s, Failed, now)
}

// LastAnswer returns when the server last answered, or began to answer, a request of this router;
// zero if never, or if the server is not known.
func (p *Picker) LastAnswer(id routing.Identity) time.Time {
	if s := p.servers[id.ID]; s != nil && s.Identity() == id {
		return s.lastAnswer
	}
	return time.Time{}
}
