package pick

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

func TestLaterBackoffExtendsButDoesNotShorten(t *testing.T) {
	p := newPicker(3)
	id := routing.Identity{ID: "i-000"}
	assert.Assert(t, p.NoteBackoff(id, 3*time.Second, at(0)))
	assert.Assert(t, !p.NoteBackoff(id, time.Second, at(100)))
	assert.Equal(t, p.InBackoff(at(2999)), 1)
	assert.Equal(t, p.InBackoff(at(3000)), 0)
	assert.Assert(t, p.NoteBackoff(id, time.Second, at(3000)))
}

func TestBackoffIsCapped(t *testing.T) {
	p := newPicker(3)
	p.NoteBackoff(routing.Identity{ID: "i-000"}, 1000*time.Hour, at(0))
	assert.Equal(t, p.InBackoff(start.Add(maxBackoff-1)), 1)
	assert.Equal(t, p.InBackoff(start.Add(maxBackoff)), 0)
}

// Guards against notices that are lost while an entry has lapsed, or kept forever.
func TestNoticesOutliveAnEntry(t *testing.T) {
	p := newPicker(3)
	id := routing.Identity{ID: "i-000"}
	list := listedServers(p)
	assert.Assert(t, p.NoteLeaving(id, at(0)))
	assert.Assert(t, !p.NoteLeaving(id, at(10)))
	assert.Equal(t, p.Leaving(), 1)
	p.SetServers(nil, at(20))
	assert.Equal(t, p.Leaving(), 0)
	p.Tick(at(5000))
	p.SetServers(list, at(5000))
	assert.Equal(t, p.Leaving(), 1)
	p.SetServers(nil, at(6000))
	p.Tick(start.Add(leavingRetention + time.Minute))
	assert.Equal(t, len(p.notices), 0)
}

// entries holds the state of each server's entry. The servers alternate between two data centres.
type entries []byte

const (
	entryReady byte = iota
	entryDraining
	entryAbsent
	entryStateCount
)

// list returns the servers whose entries are present.
func (e entries) list() (list []routing.Server) {
	for i, state := range e {
		s := routing.Server{ID: fmt.Sprint(i), Service: "app", DataCentre: fmt.Sprintf("dc%d", i%2), Slots: 6, State: routing.ServerReady}
		switch state {
		case entryAbsent:
			continue
		case entryDraining:
			s.State = routing.ServerDraining
		}
		list = append(list, s)
	}
	return list
}

// leavingModel derives which servers may be chosen from the steps alone, without the picker.
type leavingModel struct {
	entries    entries
	leaving    map[int]time.Time // last announcement
	readySince map[int]time.Time // since when the entry has been ready
}

// setEntry changes the state of a server's entry.
func (m *leavingModel) setEntry(i int, state byte, now time.Time) {
	before := m.entries[i]
	m.entries[i] = state
	if state == entryReady && before != entryReady {
		m.readySince[i] = now
	}
	if before == entryDraining && state == entryReady {
		delete(m.leaving, i)
	}
}

// clearStale clears the marks that the store contradicts after it was followed for
// leavingStaleAfter.
func (m *leavingModel) clearStale(now time.Time) {
	for i, announced := range m.leaving {
		if m.entries[i] == entryReady && now.Sub(announced) >= leavingStaleAfter && now.Sub(m.readySince[i]) >= leavingStaleAfter {
			delete(m.leaving, i)
		}
	}
}

// forget drops the marks of servers that the picker does not know, after leavingRetention.
func (m *leavingModel) forget(p *Picker, now time.Time) {
	for i, announced := range m.leaving {
		if !p.Known(routing.Identity{ID: fmt.Sprint(i)}) && now.Sub(announced) >= leavingRetention {
			delete(m.leaving, i)
		}
	}
}

// usable returns the IDs of the servers that may be chosen.
func (m *leavingModel) usable(evacuated string) map[string]bool {
	ids := map[string]bool{}
	for i, state := range m.entries {
		if _, leaving := m.leaving[i]; state == entryReady && !leaving && fmt.Sprintf("dc%d", i%2) != evacuated {
			ids[fmt.Sprint(i)] = true
		}
	}
	return ids
}

// FuzzLeaving guards against sequences of lists, announcements, evacuations and clock advances
// after which a leaving server is chosen, or a usable one is not.
func FuzzLeaving(f *testing.F) {
	f.Add([]byte{0, 8, 16, 1, 9, 2, 10, 0, 3, 4, 6, 5, 1, 7})
	f.Add([]byte{0x01, 0x21, 0x05, 0x06, 0x41, 0x03})
	f.Add(append(append([]byte{0, 66}, bytes.Repeat([]byte{253}, 25)...), 2)) // longer than leavingRetention
	f.Fuzz(func(t *testing.T, steps []byte) {
		const servers = 4
		p := New("dc0", rand.New(rand.NewPCG(1, 2)))
		p.SetServices([]routing.Service{{Name: "app"}})
		m := leavingModel{entries: make(entries, servers), leaving: map[int]time.Time{}, readySince: map[int]time.Time{}}
		now := start
		for i := range servers {
			m.readySince[i] = now
		}
		p.SetServers(m.entries.list(), now)
		evacuated := ""
		for _, b := range steps[:min(len(steps), 400)] {
			i := int(b>>3) % servers
			switch b % 8 {
			case 0, 1:
				if m.entries[i] != entryAbsent {
					p.NoteLeaving(routing.Identity{ID: fmt.Sprint(i)}, now)
					m.leaving[i] = now
					p.SetServers(m.entries.list(), now)
				}
			case 2, 3:
				m.setEntry(i, (m.entries[i]+1+b>>6)%entryStateCount, now)
				p.SetServers(m.entries.list(), now)
			case 4:
				evacuated = []string{"", "dc0", "dc1"}[int(b>>3)%3]
				p.SetEvacuated([]string{evacuated})
				p.SetServers(m.entries.list(), now)
			case 5:
				now = now.Add(time.Duration(b) * 100 * time.Millisecond)
				p.Tick(now)
				p.forgetNotices(now)
				m.forget(p, now)
			case 6:
				p.ClearStaleLeaving(leavingStaleAfter-1, now)
				p.SetServers(m.entries.list(), now)
			case 7:
				p.ClearStaleLeaving(leavingStaleAfter, now)
				m.clearStale(now)
				p.SetServers(m.entries.list(), now)
			}
			usable := m.usable(evacuated)
			for id := range servers {
				accepts := p.Accepts(routing.Identity{ID: fmt.Sprint(id)})
				if accepts != usable[fmt.Sprint(id)] {
					t.Fatalf("server %d: accepts %t, %v", id, accepts, m)
				}
			}
			c, ok := p.Choose(Request{Service: "app"}, now)
			if ok != (len(usable) > 0) || ok && !usable[c.Server.ID] {
				t.Fatalf("chose %q of %v", c.Server.ID, usable)
			}
			if ok && b%3 == 0 {
				p.Begin(Request{Service: "app"}, c, now) // keeps the server known while it is not listed
			}
		}
	})
}

// Guards against a refusal that reports a lack of servers instead of an evacuation because a
// server outside the evacuated data centre is leaving.
func TestAllEvacuatedIgnoresLeavingServers(t *testing.T) {
	p := newPicker(0)
	p.NoteLeaving(routing.Identity{ID: "p-0"}, at(0))
	p.SetEvacuated([]string{"dc1"})
	p.SetServers(listedServers(p), at(0))
	_, ok := p.Choose(Request{Service: "app"}, at(10))
	assert.Assert(t, !ok)
	reason, _ := p.WhyUnavailable(Request{Service: "app"}, at(10))
	assert.Equal(t, reason, AllEvacuated)
}

// FuzzBackoff guards against sequences of backoff requests, lists and clock advances after which a
// server in backoff is chosen or sent to, or a usable one is not.
func FuzzBackoff(f *testing.F) {
	f.Add([]byte{0, 9, 2, 0x43, 0x83, 17, 4, 0xc3, 25, 5, 6})
	f.Add([]byte{8, 16, 0xff, 24, 3, 11, 19, 27, 7})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const servers = 4
		p := New("dc0", rand.New(rand.NewPCG(1, 2)))
		p.SetServices([]routing.Service{{Name: "app"}})
		states := make(entries, servers)
		backoffUntil := make([]time.Time, servers)
		now := start
		p.SetServers(states.list(), now)
		for _, b := range steps[:min(len(steps), 400)] {
			i := int(b>>3) % servers
			switch b % 8 {
			case 0, 1, 2:
				d := time.Duration(b) * 20 * time.Millisecond
				p.NoteBackoff(routing.Identity{ID: fmt.Sprint(i)}, d, now)
				if end := now.Add(d); end.After(backoffUntil[i]) {
					backoffUntil[i] = end
				}
			case 3, 4:
				states[i] = (states[i] + 1) % entryStateCount
				p.SetServers(states.list(), now)
			default:
				now = now.Add(time.Duration(b>>3) * 100 * time.Millisecond)
				p.Tick(now)
			}
			usable := map[string]bool{}
			for n, state := range states {
				id := fmt.Sprint(n)
				if state == entryReady && !now.Before(backoffUntil[n]) {
					usable[id] = true
				}
				if may := p.MaySend(routing.Identity{ID: id}, false, now, now); may != usable[id] {
					t.Fatalf("server %s: MaySend = %t, want %t", id, may, usable[id])
				}
			}
			c, ok := p.Choose(Request{Service: "app"}, now)
			if ok != (len(usable) > 0) || ok && !usable[c.Server.ID] {
				t.Fatalf("chose %q of %v", c.Server.ID, usable)
			}
			if reason, wait := p.WhyUnavailable(Request{Service: "app"}, now); !ok && reason == AllInBackoff && wait <= 0 {
				t.Fatalf("AllInBackoff with a wait of %s", wait)
			}
		}
	})
}

// Guards against choosing an engine in backoff as the home of a prompt, and against a home that
// does not return when the backoff ends.
func TestHomeInBackoffIsPassedOver(t *testing.T) {
	p := newPicker(9)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	home := choose(t, p, req, 0)
	p.NoteBackoff(home.Server.Identity(), 3*time.Second, at(0))
	for ms := 0; ms < 3000; ms += 100 {
		assert.Assert(t, choose(t, p, req, ms).Server.ID != home.Server.ID)
		for _, s := range p.homes(req, p.services["llm"], at(ms)).list() {
			assert.Assert(t, s.ID != home.Server.ID)
		}
	}
	assert.Equal(t, choose(t, p, req, 3000).Server.ID, home.Server.ID)
}

// Guards against drawing cold servers in backoff instead of those with a free permit.
func TestColdServerInBackoffIsNotDrawn(t *testing.T) {
	p := pickerInFleet(0, 1, 6)
	p.SetServers(engineList(6, 3, 3*time.Second), at(0))
	assert.Equal(t, len(p.addColdWithPermits(nil, "llm", at(0))), maxColdDrawn)
	for _, id := range []string{"i-000", "i-001"} {
		p.NoteBackoff(routing.Identity{ID: id}, time.Second, at(0))
	}
	drawn := p.addColdWithPermits(nil, "llm", at(0))
	assert.Equal(t, len(drawn), 1)
	assert.Equal(t, drawn[0].ID, "i-002")
}

// Guards against a reason or a time that ignores one of two causes that block a server.
func TestUnavailableUntilLaterOfColdAndBackoff(t *testing.T) {
	p := pickerInFleet(0, 2, 1)
	p.fleet.Set([]string{"r1"}, false) // no permits
	p.SetServers(engineList(1, 1, 2*time.Second), at(0))
	req := Request{Service: "llm"}
	reason, wait := p.WhyUnavailable(req, at(0))
	assert.Equal(t, reason, AllCold)
	assert.Equal(t, wait, 2*time.Second)
	id := routing.Identity{ID: "i-000"}
	p.NoteBackoff(id, time.Second, at(0))
	reason, wait = p.WhyUnavailable(req, at(0))
	assert.Equal(t, reason, AllCold)
	assert.Equal(t, wait, 2*time.Second)
	p.NoteBackoff(id, 3*time.Second, at(0))
	reason, wait = p.WhyUnavailable(req, at(0))
	assert.Equal(t, reason, AllInBackoff)
	assert.Equal(t, wait, 3*time.Second)
}
