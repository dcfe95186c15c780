package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/claims"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/platform"
)

const (
	tableDelay = 3 * time.Millisecond // of one call
	claimRun   = time.Second
)

// table is a transactional table in memory that counts its calls.
type table struct {
	mu                         sync.Mutex
	rows                       map[string]platform.Row
	reads, commits, rowsWrites atomic.Int64
	failed                     atomic.Int64
}

// Read implements platform.Table.
func (t *table) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	time.Sleep(tableDelay)
	t.reads.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]platform.Row, 0, len(keys))
	for _, k := range keys {
		row := t.rows[k]
		row.Key = k
		out = append(out, row)
	}
	return out, nil
}

// Commit implements platform.Table.
func (t *table) Commit(_ context.Context, writes ...platform.Write) error {
	time.Sleep(tableDelay)
	t.commits.Add(1)
	t.rowsWrites.Add(int64(len(writes)))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if t.rows[w.Key].Version != w.IfVersion {
			return &platform.Error{Kind: platform.KindConflict, Op: "table.commit"}
		}
	}
	for _, w := range writes {
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: w.IfVersion + 1}
	}
	return nil
}

// claimCost is what the calls of one router cost the table.
type claimCost struct {
	commits, rows, reads float64 // for one call that is claimed and answered
}

// measureClaimRate claims keys at a steady rate at one router.
func measureClaimRate(rate int) claimCost {
	t := &table{rows: map[string]platform.Row{}}
	c := claims.New(t, claim.Writer{Router: "r", Incarnation: 1}, time.Now, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Run(ctx) // returns nil
	}()
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	count := int(claimRun.Seconds() * float64(rate))
	for i := range count {
		<-ticker.C
		calls.Go(func() { book(c, t, i) })
	}
	ticker.Stop()
	calls.Wait()
	stop()
	<-ended
	per := float64(count) - float64(t.failed.Load())
	return claimCost{
		commits: float64(t.commits.Load()) / per,
		rows:    float64(t.rowsWrites.Load()) / per,
		reads:   float64(t.reads.Load()) / per,
	}
}

// book claims a key, and stores its answer after a short call.
func book(c *claims.Claims, t *table, i int) {
	key, now := claim.KeyOf("desk", "dispatch", fmt.Sprint(i)), time.Now()
	id := msg.RequestID(fmt.Sprint("q", i))
	_, _, err := c.Take(context.Background(), key, claim.Want{
		Holder: id,
		Until:  now.Add(time.Minute).UnixMilli(),
		Keep:   now.Add(time.Hour).UnixMilli(),
	})
	if err != nil {
		t.failed.Add(1)
		return
	}
	time.Sleep(20 * time.Millisecond)
	<-c.Finish(key, id, claim.Result{State: claim.Done, Answer: &claim.Answer{Status: 200, Body: []byte(`{"booked":true}`)}})
}

// measureClaims measures what the calls that run at most once cost the table.
func measureClaims() ([]Slope, error) {
	rates := []int{10, 50, 200, 400}
	got := map[int]claimCost{}
	for _, r := range rates {
		got[r] = measureClaimRate(r)
	}
	field := func(get func(claimCost) float64) func(int) float64 {
		return func(n int) float64 { return get(got[n]) }
	}
	return []Slope{
		measureAt(Slope{Key: "claim-rows", What: "rows written for a call", Unit: "rows", Per: "calls a second at a router"},
			rates, field(func(c claimCost) float64 { return c.rows })),
		measureAt(Slope{Key: "claim-commits", What: "transactions committed for a call", Unit: "commits", Per: "calls a second at a router", Log: true},
			rates, field(func(c claimCost) float64 { return c.commits })),
		measureAt(Slope{Key: "claim-reads", What: "table reads for a call (one reads the rows of a batch)", Unit: "reads", Per: "calls a second at a router", Log: true},
			rates, field(func(c claimCost) float64 { return c.reads })),
	}, nil
}
