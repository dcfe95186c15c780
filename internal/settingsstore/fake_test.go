package settingsstore

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/platform"
)

// failure is what goes wrong with one call to the fake.
type failure int

const (
	fine      failure = iota
	down              // nothing happened
	lostReply         // the effect was taken
	lostCall          // no effect, but the caller can't know
)

// fake is the platform in memory. One goroutine changes it and its failures.
type fake struct {
	mu      sync.Mutex // guards rows and objects
	rows    map[string]platform.Row
	objects map[string][]byte
	version uint64
	outage  atomic.Bool
	delay   atomic.Int64 // nanoseconds that each call takes
	next    []failure    // of the calls to come
	race    func()       // runs once before the next commit
	breaks  bool         // the next commit loses its reply and an outage begins
	heads   []Record     // every head that was ever committed
}

func newFake() *fake {
	return &fake{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

func failed(op string, kind platform.Kind) error {
	return &platform.Error{Kind: kind, Op: op}
}

// call performs effect as the next failure has it.
func (f *fake) call(ctx context.Context, op string, effect func() error) error {
	if d := time.Duration(f.delay.Load()); d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return failed(op, platform.KindUnknown)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	mode := fine
	if len(f.next) > 0 {
		mode, f.next = f.next[0], f.next[1:]
	}
	switch {
	case f.outage.Load() || mode == down:
		return failed(op, platform.KindUnavailable)
	case mode == lostCall:
		return failed(op, platform.KindUnknown)
	case mode == lostReply:
		_ = effect()
		return failed(op, platform.KindUnknown)
	}
	return effect()
}

func (f *fake) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var out []platform.Row
	err := f.call(ctx, "read", func() error {
		for _, k := range keys {
			row := f.rows[k]
			row.Key = k
			out = append(out, row)
		}
		return nil
	})
	return out, err
}

func (f *fake) Commit(ctx context.Context, writes ...platform.Write) error {
	if race := f.race; race != nil {
		f.race = nil
		race()
	}
	if f.breaks {
		f.breaks = false
		f.next = []failure{lostReply}
		defer f.outage.Store(true)
	}
	return f.call(ctx, "commit", func() error {
		for _, w := range writes {
			if f.rows[w.Key].Version != w.IfVersion {
				return failed("commit", platform.KindConflict)
			}
		}
		for _, w := range writes {
			f.version++
			f.rows[w.Key] = platform.Row{Value: w.Value, Version: f.version}
			f.noteHead(w)
		}
		return nil
	})
}

func (f *fake) noteHead(w platform.Write) {
	if w.Key != headKey {
		return
	}
	var r Record
	if err := json.Unmarshal(w.Value, &r); err != nil {
		panic(err)
	}
	f.heads = append(f.heads, r)
}

func (f *fake) PutIfAbsent(ctx context.Context, key string, body []byte) error {
	return f.call(ctx, "put", func() error {
		if _, taken := f.objects[key]; taken {
			return failed("put", platform.KindConflict)
		}
		f.objects[key] = bytes.Clone(body)
		return nil
	})
}

func (f *fake) Get(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	err := f.call(ctx, "get", func() error {
		var ok bool
		if body, ok = f.objects[key]; !ok {
			return failed("get", platform.KindAbsent)
		}
		return nil
	})
	return body, err
}

func (f *fake) store() *Store {
	s := New(f, f)
	s.wait = func(context.Context, int) {}
	return s
}
