package controlplane

import (
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

const (
	storeAnswers = 4 * time.Millisecond
	// storePage is how many rows a read returns, storeRow what a row takes there.
	storePage = 200
	storeRow  = 330
	// storeWait is how long a reader's call waits for a change.
	storeWait = 1200 * time.Millisecond
)

// row is an entry of the list of servers.
type row struct {
	server routing.Server
	ver    uint64
}

// store is the platform's: the list of servers and its changes.
type store struct {
	sim     *sim
	rows    map[string]row
	changes []row
	ver     uint64
	waiting []func()
	cut     map[*host]bool
}

func newStore(s *sim) *store { return &store{sim: s, rows: map[string]row{}, cut: map[*host]bool{}} }

// put writes an entry, and wakes those that wait for a change.
func (st *store) put(s routing.Server) {
	st.ver++
	s.EntryVersion = st.ver
	st.rows[s.ID] = row{s, st.ver}
	st.changes = append(st.changes, row{s, st.ver})
	waiting := st.waiting
	st.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// call counts calls of a host.
func (st *store) call(h *host, calls, bytes int) {
	h.spent.storeCalls += int64(calls)
	st.sim.total.StoreCalls += int64(calls)
	st.sim.total.StoreBytes += int64(bytes)
}

// read has a host read the configuration and the whole list.
func (st *store) read(h *host, life int, again func(time.Duration)) {
	n := len(st.rows)
	pages := (n + storePage - 1) / storePage
	st.call(h, 1+pages, len(st.sim.raw)*4/3+n*storeRow)
	as := roster.Stamp{Version: st.ver}
	list := make([]routing.Server, 0, n)
	for _, r := range st.rows {
		list = append(list, r.server)
	}
	slices.SortFunc(list, func(a, b routing.Server) int { return strings.Compare(a.ID, b.ID) })
	h.at(life, time.Duration(1+pages)*storeAnswers, func() {
		h.work(costConfig + time.Duration(n)*(costRow+costList))
		h.at(life, 0, func() {
			h.state.ApplyConfig(st.sim.config, st.sim.raw)
			h.state.ReplaceServers(list, as, false)
			h.state.ConfirmConfig(0)
			h.state.MarkCrashesRead()
			h.state.StoreUp()
			h.noteReady()
			again(0)
		})
	})
}

// wait has a host wait for a change after a version.
func (st *store) wait(h *host, life int, as roster.Stamp, again func(time.Duration)) {
	st.call(h, 2, 200) // of the configuration and of the list
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		h.at(life, storeAnswers, func() { st.answer(h, as, again) })
	}
	if st.ver > as.Version {
		answer()
		return
	}
	st.waiting = append(st.waiting, answer)
	st.sim.after(storeWait, answer)
}

// answer tells a host what has changed.
func (st *store) answer(h *host, as roster.Stamp, again func(time.Duration)) {
	if st.cut[h] {
		again(0)
		return
	}
	var changed []routing.Server
	for i := len(st.changes) - 1; i >= 0 && st.changes[i].ver > as.Version; i-- {
		changed = append(changed, st.changes[i].server)
	}
	slices.Reverse(changed)
	st.sim.total.StoreBytes += int64(len(changed) * storeRow)
	h.work(costWake + time.Duration(len(changed))*costRow)
	h.state.ApplyServerChanges(changed, nil, roster.Stamp{Era: as.Era, Version: st.ver})
	h.state.ConfirmConfig(0)
	h.state.StoreUp()
	again(0)
}
