package claims

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/platform"
)

// table is a table in memory whose calls fail as they are told to. Its faults and
// counts are of commits that write claims; what only writes the index is tested
// against the stand-in.
type table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64          // the last one given
	faults  []platform.Kind // of the next commits; "": none
	effect  bool            // a commit of unknown outcome takes effect
	down    bool
	tried   int
	commits int
	widest  int // claims of one commit
}

func (t *table) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, &platform.Error{Kind: platform.KindUnavailable, Op: "table.read"}
	}
	var rows []platform.Row
	for _, k := range keys {
		row := t.rows[k]
		row.Key = k
		rows = append(rows, row)
	}
	return rows, nil
}

func (t *table) Commit(_ context.Context, writes ...platform.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	claimed := 0
	for _, w := range writes {
		if strings.HasPrefix(w.Key, "claim/") {
			claimed++
		}
	}
	t.tried += min(claimed, 1)
	var fault platform.Kind
	if len(t.faults) > 0 && claimed > 0 {
		fault, t.faults = t.faults[0], t.faults[1:]
	}
	if fault != "" && (fault != platform.KindUnknown || !t.effect) {
		return &platform.Error{Kind: fault, Op: "table.commit"}
	}
	for _, w := range writes {
		if t.rows[w.Key].Version != w.IfVersion {
			return &platform.Error{Kind: platform.KindConflict, Op: "table.commit"}
		}
	}
	t.version++
	for _, w := range writes {
		t.rows[w.Key] = platform.Row{Value: w.Value, Version: t.version}
	}
	t.commits += min(claimed, 1)
	t.widest = max(t.widest, claimed)
	if fault != "" {
		return &platform.Error{Kind: fault, Op: "table.commit"}
	}
	return nil
}

func (t *table) state(key claim.Key) claim.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := claim.Decode(t.rows[string(key)].Value)
	if err != nil || row == nil {
		return 0
	}
	return row.State
}

// within runs f in a bubble of synctest with the claims of n routers.
func within(t *testing.T, n int, f func(t *testing.T, tab *table, routers []*Claims)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tab := &table{rows: map[string]platform.Row{}}
		ctx, cancel := context.WithCancel(t.Context())
		var routers []*Claims
		for i := range n {
			c := New(tab, claim.Writer{Incarnation: uint64(i)}, time.Now, slog.New(slog.DiscardHandler))
			routers = append(routers, c)
			go func() { _ = c.Run(ctx) }()
		}
		f(t, tab, routers)
		time.Sleep(2 * finishTime) // results that are still tried end
		cancel()
		synctest.Wait()
	})
}

func want(id string) claim.Request {
	now := time.Now()
	return claim.Request{
		Digest: claim.Digest{1}, Holder: msg.RequestID(id),
		CallDeadline: now.Add(time.Minute).UnixMilli(), RetainUntil: now.Add(time.Hour).UnixMilli(),
	}
}

const key claim.Key = "claim/k"

func TestOneOfManyTakesAKey(t *testing.T) {
	within(t, 4, func(t *testing.T, tab *table, routers []*Claims) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		got := map[claim.Verdict]int{}
		for i := range 40 {
			wg.Go(func() {
				verdict, _, err := routers[i%4].Take(t.Context(), key, want(fmt.Sprint(i)))
				assert.Check(t, err)
				mu.Lock()
				got[verdict]++
				mu.Unlock()
			})
		}
		wg.Wait()
		assert.DeepEqual(t, got, map[claim.Verdict]int{claim.Granted: 1, claim.InProgress: 39})
	})
}

// Claims of different keys share a transaction; one taken key fails only its
// own request.
func TestClaimsAreBatched(t *testing.T) {
	within(t, 2, func(t *testing.T, tab *table, routers []*Claims) {
		_, _, err := routers[1].Take(t.Context(), "claim/7", want("first"))
		assert.NilError(t, err)
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				verdict, _, err := routers[0].Take(t.Context(), claim.Key(fmt.Sprint("claim/", i)), want(fmt.Sprint(i)))
				assert.Check(t, err)
				if i == 7 {
					assert.Check(t, verdict == claim.InProgress)
				} else {
					assert.Check(t, verdict == claim.Granted)
				}
			})
		}
		wg.Wait()
		assert.Assert(t, tab.commits <= 3, "%d commits", tab.commits)
		assert.Equal(t, tab.widest, 49)
	})
}

// The halves of a batch that met a conflict both get through, each with a page of
// the index as the other left it.
func TestHalvesOfABatch(t *testing.T) {
	within(t, 1, func(t *testing.T, tab *table, routers []*Claims) {
		_, _, err := routers[0].Take(t.Context(), key, want("first")) // the hour's manifest is written
		assert.NilError(t, err)
		tab.faults, tab.tried, tab.commits = []platform.Kind{platform.KindConflict}, 0, 0
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				verdict, _, err := routers[0].Take(t.Context(), claim.Key(fmt.Sprint("claim/", i)), want(fmt.Sprint(i)))
				assert.Check(t, err)
				assert.Check(t, verdict == claim.Granted)
			})
		}
		wg.Wait()
		assert.Equal(t, tab.commits, 2)
		assert.Equal(t, tab.tried, 3)
	})
}

func TestLostReplyIsSettledByReading(t *testing.T) {
	for _, effect := range []bool{false, true} {
		within(t, 1, func(t *testing.T, tab *table, routers []*Claims) {
			tab.faults, tab.effect = []platform.Kind{platform.KindUnknown}, effect
			verdict, row, err := routers[0].Take(t.Context(), key, want("a"))
			assert.NilError(t, err)
			assert.Equal(t, verdict, claim.Granted)
			assert.Equal(t, row.Holder, msg.RequestID("a"))
			<-routers[0].Finish(key, "a", claim.Result{State: claim.Done, Answer: &claim.Answer{Status: 200}})
			assert.Equal(t, tab.state(key), claim.Done)
			verdict, row, err = routers[0].Take(t.Context(), key, want("b"))
			assert.NilError(t, err)
			assert.Equal(t, verdict, claim.Replay)
			assert.Equal(t, row.Answer.Status, 200)
		})
	}
}

// A claim that can't be settled is refused, and released once the table is
// back: it was not sent.
func TestClaimThatCantBeSettledIsReleased(t *testing.T) {
	within(t, 1, func(t *testing.T, tab *table, routers []*Claims) {
		tab.effect = true
		for range maxTries {
			tab.faults = append(tab.faults, platform.KindUnknown)
		}
		unsettled := &outage{table: tab}
		routers[0].table = unsettled
		_, _, err := routers[0].Take(t.Context(), key, want("a"))
		assert.ErrorType(t, err, &Unavailable{})
		assert.Equal(t, tab.state(key), claim.Running)
		tab.mu.Lock()
		tab.faults, tab.down = nil, false
		tab.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Equal(t, tab.state(key), claim.NotRun)
		verdict, _, err := routers[0].Take(t.Context(), key, want("b"))
		assert.NilError(t, err)
		assert.Equal(t, verdict, claim.Granted)
	})
}

// outage takes the table down after the first commit.
type outage struct{ *table }

func (o *outage) Commit(ctx context.Context, writes ...platform.Write) error {
	err := o.table.Commit(ctx, writes...)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = o.down || o.commits == 1 && len(o.faults) > 0
	return err
}

func TestTableDown(t *testing.T) {
	within(t, 1, func(t *testing.T, tab *table, routers []*Claims) {
		tab.down = true
		_, _, err := routers[0].Take(t.Context(), key, want("a"))
		assert.ErrorType(t, err, &Unavailable{})
		assert.Equal(t, platform.KindOf(err), platform.KindUnavailable)
		tab.mu.Lock()
		tab.down = false
		tab.mu.Unlock()
		verdict, _, err := routers[0].Take(t.Context(), key, want("a2"))
		assert.NilError(t, err)
		assert.Equal(t, verdict, claim.Granted)
		tab.mu.Lock()
		tab.down = true
		tab.mu.Unlock()
		written := routers[0].Finish(key, "a2", claim.Result{State: claim.Indeterminate})
		time.Sleep(10 * time.Second)
		tab.mu.Lock()
		tab.down = false
		tab.mu.Unlock()
		<-written
		assert.Equal(t, tab.state(key), claim.Indeterminate)
	})
}

// A caller that gives up while its claim waits leaves nothing held.
func TestAbandonedClaimIsReleased(t *testing.T) {
	within(t, 1, func(t *testing.T, tab *table, routers []*Claims) {
		ctx, cancel := context.WithTimeout(t.Context(), gatherTime/2)
		defer cancel()
		_, _, err := routers[0].Take(ctx, key, want("a"))
		assert.ErrorType(t, err, &Unavailable{})
		time.Sleep(time.Second)
		assert.Equal(t, tab.state(key), claim.NotRun)
	})
}

// A router that drains loses no result while the table comes back in time, and
// waits no longer than it may.
func TestResultsAreSettledBeforeTheEnd(t *testing.T) {
	for _, back := range []bool{true, false} {
		within(t, 1, func(t *testing.T, tab *table, routers []*Claims) {
			c := routers[0]
			_, _, err := c.Take(t.Context(), key, want("a"))
			assert.NilError(t, err)
			down := func(is bool) {
				tab.mu.Lock()
				defer tab.mu.Unlock()
				tab.down = is
			}
			down(true)
			c.Finish(key, "a", claim.Result{State: claim.Done, Answer: &claim.Answer{Status: 200}})
			if back {
				time.AfterFunc(10*time.Second, func() { down(false) })
			}
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			began := time.Now()
			assert.Equal(t, c.Settle(ctx), back)
			if back {
				assert.Equal(t, tab.state(key), claim.Done)
				return
			}
			assert.Equal(t, time.Since(began), 30*time.Second)
		})
	}
}
