package members

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/member"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/wire"
)

// wires joins shells in memory. It is used within one synctest bubble.
type wires struct {
	by   map[msg.RouterID]*Members
	cut  atomic.Bool // nothing passes
	twin *Members    // a second process that calls itself r1
	ctx  context.Context
}

// router adds a router that notes the settings versions it hears of.
func (w *wires) router(id msg.RouterID, incarnation uint64, newer, superseded chan uint64) *Members {
	m := New(w.ctx, id, incarnation, "dc", Effects{
		Send: func(to msg.RouterID, body []byte) {
			go func() {
				if w.cut.Load() {
					return
				}
				_ = w.by[to].Step(id, body)
				if to == "r1" && w.twin != nil {
					_ = w.twin.Step(id, body)
				}
			}()
		},
		Sync: func(_ context.Context, to msg.RouterID, req []byte) ([]byte, error) {
			if w.cut.Load() {
				return nil, context.DeadlineExceeded
			}
			return w.by[to].Answer(req)
		},
		Changed:    func([]member.Member) {},
		Newer:      func(v uint64) { note(newer, v) },
		Superseded: func(v uint64) { note(superseded, v) },
	})
	return m
}

func note(ch chan uint64, v uint64) {
	select {
	case ch <- v:
	default:
	}
}

func alive(m *Members) (n int) {
	list, _ := m.View()
	for _, x := range list {
		if x.State == member.Alive {
			n++
		}
	}
	return n
}

// Two shells find each other, pass a settings version on, tell a cut from a
// member, mend, and see a departure.
func TestTwoShellsOverAWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := &wires{by: map[msg.RouterID]*Members{}, ctx: ctx}
		newer, superseded := make(chan uint64, 1), make(chan uint64, 1)
		for _, id := range []msg.RouterID{"r1", "r2"} {
			w.by[id] = w.router(id, 7, newer, superseded)
		}
		a, b := w.by["r1"], w.by["r2"]
		ctxB, stopB := context.WithCancel(ctx)
		done := make(chan error, 2)
		go func() { done <- a.Run(ctx) }()
		go func() { done <- b.Run(ctxB) }()
		for _, m := range w.by {
			m.SetCandidates([]member.Candidate{{ID: "r1"}, {ID: "r2"}})
		}
		time.Sleep(time.Minute)
		assert.Equal(t, alive(a)+alive(b), 4)

		a.SetSettings(5)
		time.Sleep(10 * time.Second)
		assert.Equal(t, <-newer, uint64(5))

		w.cut.Store(true)
		time.Sleep(time.Minute)
		assert.Equal(t, alive(a)+alive(b), 2)
		synctest.Wait()
		w.cut.Store(false)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, alive(a)+alive(b), 4)

		b.Leave()
		time.Sleep(5 * time.Second)
		assert.Equal(t, alive(a), 1)
		stopB()
		assert.NilError(t, <-done)
		time.Sleep(5 * time.Second)
		list, changes := a.View()
		assert.Equal(t, len(list), 1)
		assert.Assert(t, changes >= 3, "%d", changes)
		assert.Equal(t, len(superseded), 0)
		stop()
		assert.NilError(t, <-done)
	})
}

// A second process with the identity of a running one: the older of the two is
// told so.
func TestSecondProcessSupersedesTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := &wires{by: map[msg.RouterID]*Members{}, ctx: ctx}
		superseded := make(chan uint64, 1)
		w.by["r1"] = w.router("r1", 7, nil, superseded)
		w.twin = w.router("r1", 9, nil, nil)
		w.by["r2"] = w.router("r2", 8, nil, nil)
		done := make(chan error, 3)
		for _, m := range []*Members{w.twin, w.by["r1"], w.by["r2"]} {
			go func() { done <- m.Run(ctx) }()
			m.SetCandidates([]member.Candidate{{ID: "r1"}, {ID: "r2"}})
		}
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(superseded), 1)
		assert.Equal(t, <-superseded, uint64(9))
		stop()
		for range 3 {
			assert.NilError(t, <-done)
		}
	})
}

// A router that has departed says nothing more, whatever peers say.
func TestDepartedRouterIsSilent(t *testing.T) {
	said := 0
	ctx, stop := context.WithCancel(t.Context())
	m := New(ctx, "r1", 1, "dc", Effects{
		Send: func(msg.RouterID, []byte) { said++ },
		Sync: func(context.Context, msg.RouterID, []byte) ([]byte, error) {
			said++
			return nil, context.Canceled
		},
		Changed: func([]member.Member) { said++ },
		Newer:   func(uint64) { said++ },
	})
	stop()
	assert.NilError(t, m.Run(ctx))
	said = 0
	ping, err := wire.Marshal(member.Message{Type: member.Ping, Incarnation: 1, SettingsVersion: 9})
	assert.NilError(t, err)
	assert.NilError(t, m.Step("r2", ping))
	m.SetCandidates([]member.Candidate{{ID: "r2"}})
	view, err := wire.Marshal(member.SyncMessage{})
	assert.NilError(t, err)
	_, err = m.Answer(view)
	assert.ErrorType(t, err, Departed{})
	m.wg.Wait()
	assert.Equal(t, said, 0)
}

func TestMalformedMessagesAreTypedErrors(t *testing.T) {
	m := (&wires{ctx: t.Context()}).router("r1", 1, nil, nil)
	for _, body := range [][]byte{nil, {0xff}, []byte("text"), make([]byte, maxMessage+1)} {
		_, isWire := m.Step("r2", body).(*wire.Error)
		assert.Assert(t, isWire)
		_, err := m.Answer(body)
		_, isWire = err.(*wire.Error)
		assert.Assert(t, isWire)
	}
}
