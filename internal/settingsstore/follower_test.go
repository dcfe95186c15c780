package settingsstore

import (
	"context"
	"crypto/sha256"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/settings"
)

func (f *fake) accept(t *testing.T, source string) {
	t.Helper()
	e := Edit{ID: NewEditID(), Base: uint64(len(f.heads)), Source: []byte(source)}
	_, err := f.store().Accept(t.Context(), e)
	assert.NilError(t, err)
}

func half() float64 { return 0.5 }

func TestRunPollsAtTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFake()
		var got []uint64
		f := NewFollower(Config{Table: p, Objects: p, Rand: half})
		f.Notify(func(s *settings.Snapshot) { got = append(got, s.Version) })
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		synctest.Wait()
		assert.Assert(t, !f.Ready())
		p.accept(t, "[tree]")
		time.Sleep(DefaultInterval)
		synctest.Wait()
		assert.Equal(t, f.version(), uint64(1))
		p.accept(t, "[fleet]")
		p.outage.Store(true)
		time.Sleep(10 * DefaultInterval)
		synctest.Wait()
		assert.Equal(t, f.version(), uint64(1))
		assert.Assert(t, f.Stats().StoreDown)
		p.outage.Store(false)
		time.Sleep(DefaultInterval)
		synctest.Wait()
		assert.DeepEqual(t, got, []uint64{1, 2})
		cancel()
	})
}

func TestHintBringsTheReadForwardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFake()
		f := NewFollower(Config{Table: p, Objects: p, Interval: time.Hour, Rand: half})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		synctest.Wait()
		p.accept(t, "[tree]")
		f.Hint(1)
		time.Sleep(DefaultHintSpread)
		synctest.Wait()
		assert.Equal(t, f.version(), uint64(1))
		polls := f.Stats().Polls
		f.Hint(9) // false: no such version
		for range 100 {
			f.Hint(9)
			time.Sleep(DefaultHintSpread)
		}
		synctest.Wait()
		assert.Equal(t, f.Stats().Polls, polls+1)
		cancel()
	})
}

func TestSlowStoreIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFake()
		p.accept(t, "[tree]")
		p.delay.Store(int64(3 * DefaultReadTimeout)) // each of two calls
		f := NewFollower(Config{Table: p, Objects: p, Rand: half})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, f.version(), uint64(1))
		cancel()
	})
}

func TestFaultyVersionIsFetchedOnce(t *testing.T) {
	p := newFake()
	p.accept(t, "[tree]")
	f := NewFollower(Config{Table: p, Objects: p})
	source := []byte("[later]")
	head := p.heads[0]
	head.Version, head.Digest = 2, sha256.Sum256(source)
	f.poll(t.Context())
	for range 3 {
		verdict := f.OfferPeer(head.Version, head.Digest, source)
		assert.Equal(t, verdict, settings.Invalid)
	}
	assert.Assert(t, f.isFaulty(&head))
	assert.Equal(t, f.version(), uint64(1))
}

func TestConflictShowsBothDiffs(t *testing.T) {
	p := newFake()
	p.accept(t, "[tree]\nweight = 1")
	p.accept(t, "[tree]\nweight = 2")
	e := Edit{ID: "late", Base: 1, Source: []byte("[tree]\nweight = 3")}
	_, err := p.store().Accept(t.Context(), e)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Theirs[0].String(), "~ [tree] weight = 2 (was 1)")
	assert.Equal(t, conflict.Against[0].String(), "~ [tree] weight = 3 (was 2)")
}

func TestRollbackIsANewVersion(t *testing.T) {
	p := newFake()
	p.accept(t, "[tree]\nweight = 1")
	p.accept(t, "[tree]\nweight = 2")
	got, err := p.store().Rollback(t.Context(), 1, Edit{ID: "back", Base: 2})
	assert.NilError(t, err)
	assert.Equal(t, got.Record.Version, uint64(3))
	assert.Equal(t, got.Record.Digest, p.heads[0].Digest)
	all, err := p.store().History(t.Context(), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].RollbackOf, uint64(1))
	assert.Equal(t, all[1].Version, uint64(2))
}
