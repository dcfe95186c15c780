package emulator

import (
	"fmt"
	"time"

	"github.com/windscale/windscale/internal/edge/state"
)

const (
	// answerTimeout is how long a router waits for the first answer of its scheduler, aliveTimeout how
	// long for the next sign of life while an ask is queued.
	answerTimeout = 25 * time.Millisecond
	aliveTimeout  = 60 * time.Millisecond
	// maxUnanswered is after how many asks in a row without an answer a router asks nobody for
	// askPause.
	maxUnanswered = 3
	askPause      = 500 * time.Millisecond
	// scheduleInterval is how often a scheduler looks at its queue.
	scheduleInterval = 5 * time.Millisecond
)

// scheduler is a router that decides for others of its data centre.
type scheduler struct {
	s       *sim
	state   *state.State
	askers  map[string]*asker
	lost    bool // it answers no more
	running bool // the next look at its queue is planned
}

// asker is the asking side of a router.
type asker struct {
	s          *sim
	name       string
	centre     string
	state      *state.State
	scheduler  *scheduler // nil: it decides by reports
	lastID     uint64
	waiting    map[uint64]*ask
	unanswered int
	pauseUntil time.Time
}

// ask is a request that waits for a decision.
type ask struct {
	q        *request
	need     state.Request
	answered bool
}

// buildSchedulers makes the first routers of each data centre its schedulers.
func (s *sim) buildSchedulers() {
	deciders := map[string][]*scheduler{}
	count := map[string]int{}
	for i, r := range s.routers {
		dc := s.centre(i)
		if len(deciders[dc]) < s.Schedulers {
			deciders[dc] = append(deciders[dc], &scheduler{s: s, state: r, askers: map[string]*asker{}})
		}
	}
	for i, r := range s.routers {
		a := &asker{s: s, name: fmt.Sprintf("r%03d", i), centre: s.centre(i), state: r, waiting: map[uint64]*ask{}}
		if list := deciders[a.centre]; len(list) > 0 {
			a.scheduler = list[count[a.centre]%len(list)]
			a.scheduler.askers[a.name] = a
			count[a.centre]++
		}
		s.askers = append(s.askers, a)
		s.askerOf[r] = a
	}
	if s.SchedulersLost > 0 {
		s.after(s.SchedulersLost, s.loseSchedulers)
	}
}

// loseSchedulers has all schedulers answer no more. What is queued there is decided by reports.
func (s *sim) loseSchedulers() {
	for _, a := range s.askers {
		if a.scheduler != nil {
			a.scheduler.lost = true
		}
	}
	s.after(aliveTimeout, func() {
		for _, a := range s.askers {
			for id := range a.lastID {
				if w := a.waiting[id+1]; w != nil && w.answered {
					a.giveUp(id+1, w)
				}
			}
		}
	})
}

// ask asks the scheduler for the request's engine, if there is one to ask.
func (a *asker) ask(q *request, need state.Request) bool {
	if a.scheduler == nil || a.s.now.Before(a.pauseUntil) {
		return false
	}
	question, ok := a.state.AskFor(need, a.s.now.Sub(q.received))
	if !ok {
		return false
	}
	a.lastID++
	question.From, question.ID = a.name, a.lastID
	w := &ask{q: q, need: need}
	a.waiting[question.ID] = w
	a.s.after(hop, func() { a.scheduler.receive(question) })
	a.s.after(answerTimeout, func() {
		if !w.answered {
			a.miss()
			a.giveUp(question.ID, w)
		}
	})
	return true
}

// miss counts an ask without an answer.
func (a *asker) miss() {
	a.unanswered++
	if a.unanswered >= maxUnanswered {
		a.unanswered = maxUnanswered - 1
		a.pauseUntil = a.s.now.Add(askPause)
	}
}

// giveUp decides by reports in place of the scheduler.
func (a *asker) giveUp(id uint64, w *ask) {
	delete(a.waiting, id)
	a.s.after(hop, func() {
		if !a.scheduler.lost {
			a.scheduler.state.Withdraw(a.name, id)
		}
	})
	w.q.follow(a.state, a.state.Place(w.need))
}

// acknowledged is the highest ID up to which all asks have been decided.
func (a *asker) acknowledged() uint64 {
	lowest := a.lastID + 1
	for id := range a.waiting {
		lowest = min(lowest, id)
	}
	return lowest - 1
}

// receive decides on an ask that has arrived.
func (d *scheduler) receive(question state.Ask) {
	if d.lost {
		return
	}
	d.send(d.state.Schedule(question))
	d.run()
}

// run looks at the queue as long as asks wait.
func (d *scheduler) run() {
	if d.running || d.lost || d.state.Waiting() == 0 {
		return
	}
	d.running = true
	d.s.after(scheduleInterval, func() {
		d.running = false
		if d.lost {
			return
		}
		for _, decision := range d.state.DueDecisions() {
			d.send(decision)
		}
		d.run()
	})
}

// send sends a decision to the router that asked.
func (d *scheduler) send(decision state.Decision) {
	a := d.askers[decision.From]
	d.s.after(hop, func() { a.decided(decision) })
}

// decided does what the scheduler has decided.
func (a *asker) decided(d state.Decision) {
	w := a.waiting[d.ID]
	if w == nil {
		return // it has been given up
	}
	w.answered = true
	a.unanswered = 0
	if d.Verdict == state.Queued {
		a.s.result.Queued++
		return
	}
	delete(a.waiting, d.ID)
	switch d.Verdict {
	case state.Rejected:
		w.q.follow(a.state, a.state.Refuse(w.need, d))
		return
	case state.Assigned:
		if p, ok := a.state.PlaceAs(w.need, d); ok {
			w.q.follow(a.state, p)
			return
		}
	}
	w.q.follow(a.state, a.state.Place(w.need))
}

// applyAtSchedulers has the schedulers hear the report of each router of their data centre, with
// what it acknowledges, and the totals of the others.
func (s *sim) applyAtSchedulers(reports []state.Report, acknowledged []uint64) {
	for i, r := range s.routers {
		d := s.schedulerAt(r)
		if d == nil {
			continue
		}
		dc := s.centre(i)
		totals := map[string]state.Report{}
		for j, report := range reports {
			if s.centre(j) == dc {
				if j != i {
					r.ApplyPeerReport(s.askers[j].name, report)
				}
				r.Acknowledge(s.askers[j].name, acknowledged[j])
				continue
			}
			if _, ok := totals[s.centre(j)]; !ok {
				totals[s.centre(j)] = state.NewReport()
			}
			totals[s.centre(j)].Add(report)
		}
		for _, name := range sortedKeys(totals) {
			r.ApplyPeerReport(name, totals[name])
		}
		if !d.lost {
			for _, decision := range r.DueDecisions() {
				d.send(decision)
			}
		}
	}
}

// schedulerAt is the scheduler that the router is; nil: it is none.
func (s *sim) schedulerAt(r *state.State) *scheduler {
	for _, a := range s.askers {
		if a.scheduler != nil && a.scheduler.state == r {
			return a.scheduler
		}
	}
	return nil
}
