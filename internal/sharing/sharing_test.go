package sharing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/dispatch"
)

// rig runs f with a Sharer that alone admits to one server with the slots.
func rig(t *testing.T, slots int, f func(t *testing.T, s *Sharer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := New(share.Config{ID: "r1", Incarnation: 1}, Effects{
			Send:  func(msg.RouterID, *share.Message) {},
			Probe: func(msg.ServerID) {},
			Newer: func(uint64) {},
			Addr:  func(msg.ServerID) (string, bool) { return "", false },
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		if slots > 0 {
			s.SetServers(map[msg.ServerID]string{"e1": "127.0.0.1:80"})
			load(s, slots)
		}
		defer func() {
			stop()
			assert.NilError(t, <-done)
		}()
		f(t, s)
	})
}

func load(s *Sharer, slots int) {
	s.Load(share.LoadReport{Server: "e1", Pools: []msg.PoolID{"m/a"}, Slots: slots})
}

func want(id string) dispatch.Request {
	return dispatch.Request{ID: msg.RequestID(id), Pool: "m/a", Customer: "c", Weight: 1,
		Limits: dispatch.Limits{QueueLen: 2, QueueTime: 5 * time.Second}}
}

// result is what came of an Acquire.
type result struct {
	slot dispatch.Slot
	err  error
}

func acquire(ctx context.Context, s *Sharer, r dispatch.Request) <-chan result {
	out := make(chan result, 1)
	go func() {
		slot, err := s.Acquire(ctx, r)
		out <- result{slot, err}
	}()
	return out
}

func reason(t *testing.T, err error) dispatch.Reason {
	t.Helper()
	r, ok := errors.AsType[*dispatch.Refusal](err)
	assert.Assert(t, ok, "%v", err)
	return r.Reason
}

func TestAcquireGrantsWaitsAndRefuses(t *testing.T) {
	rig(t, 1, func(t *testing.T, s *Sharer) {
		first, err := s.Acquire(t.Context(), want("1"))
		assert.NilError(t, err)
		assert.Equal(t, first.Server(), dispatch.Server{ID: "e1", Addr: "127.0.0.1:80"})
		ctx, cancel := context.WithCancel(t.Context())
		second, third := acquire(t.Context(), s, want("2")), acquire(ctx, s, want("3"))
		synctest.Wait()
		_, err = s.Acquire(t.Context(), want("4"))
		assert.Equal(t, reason(t, err), dispatch.QueueFull)
		cancel()
		assert.Equal(t, reason(t, (<-third).err), dispatch.CallerGone)
		first.End(dispatch.Result{Outcome: attempt.Completed, Cost: 5})
		first.End(dispatch.Result{Outcome: attempt.Completed, Cost: 5}) // a second one does nothing
		got := <-second
		assert.NilError(t, got.err)
		_, err = s.Acquire(t.Context(), want("5"))
		assert.Equal(t, reason(t, err), dispatch.QueueTimeout)
		waiting, running := s.Counts()
		assert.Equal(t, [2]int{waiting, running}, [2]int{0, 1})
	})
	rig(t, 0, func(t *testing.T, s *Sharer) {
		_, err := s.Acquire(t.Context(), want("1"))
		assert.Equal(t, reason(t, err), dispatch.NoServer)
	})
}

// Callers that go just as their slot is granted leave no slot behind, whoever
// wins the race.
func TestCancelledAcquireLeaksNoSlot(t *testing.T) {
	const slots = 3
	rig(t, slots, func(t *testing.T, s *Sharer) {
		rnd := rand.New(rand.NewPCG(1, 2))
		var wg sync.WaitGroup
		for i := range 500 {
			r := want(fmt.Sprint(i))
			r.Limits = dispatch.Limits{QueueTime: time.Minute}
			stay, run := time.Duration(rnd.IntN(20))*time.Millisecond, time.Duration(rnd.IntN(10))*time.Millisecond
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), stay)
				defer cancel()
				slot, err := s.Acquire(ctx, r)
				if err != nil {
					return
				}
				time.Sleep(run)
				slot.End(dispatch.Result{Outcome: attempt.Completed, Cost: 1, First: time.Millisecond})
			})
			if i%10 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		wg.Wait()
		assert.Equal(t, len(s.waiting), 0)
		assert.Equal(t, s.ServerViews()[0].Running, 0)
		for i := range slots { // and all of them can be had
			_, err := s.Acquire(t.Context(), want(fmt.Sprint("last", i)))
			assert.NilError(t, err)
		}
	})
}

// A slot that was granted and not used counts as no cheap request: the next
// one is charged what requests really cost.
func TestUnusedSlotsAreNoCheapRequests(t *testing.T) {
	rig(t, 1, func(t *testing.T, s *Sharer) {
		run := func(id string, r dispatch.Result) {
			slot, err := s.Acquire(t.Context(), want(id))
			assert.NilError(t, err)
			slot.End(r)
		}
		run("0", dispatch.Result{Outcome: attempt.Completed, Cost: 1000, First: time.Millisecond})
		for i := range 50 {
			run(fmt.Sprint("unused", i), dispatch.Result{Outcome: attempt.NotSent})
		}
		run("1", dispatch.Result{Outcome: attempt.Completed, Cost: 900, First: time.Millisecond})
		assert.Equal(t, s.Stats(), share.Stats{Granted: 52, Returned: 52, EstimatedRequests: 2,
			EstimatedCost: 1 + 1000, ActualCost: 1900, AbsoluteError: 999 + 100})
	})
}

// A server that can't be dialled gets no new work until it reports again.
func TestUnreachableServerGetsNoNewWork(t *testing.T) {
	rig(t, 2, func(t *testing.T, s *Sharer) {
		slot, err := s.Acquire(t.Context(), want("1"))
		assert.NilError(t, err)
		slot.End(dispatch.Result{Outcome: attempt.NotSent, Leaving: true})
		waits := acquire(t.Context(), s, want("2"))
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(waits), 0)
		load(s, 2)
		assert.NilError(t, (<-waits).err)
	})
}

func TestSplitDividesTheSlots(t *testing.T) {
	rig(t, 0, func(t *testing.T, s *Sharer) {
		s.SetSplit(3)
		s.SetServers(map[msg.ServerID]string{"e1": "127.0.0.1:80"})
		load(s, 8)
		assert.Equal(t, s.ServerViews()[0].Slots, 3)
	})
}
