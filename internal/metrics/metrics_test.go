package metrics

import (
	"encoding/json"
	"expvar"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
)

// filled returns a registry in which every label has one value, named as the
// page names it.
func filled() *Registry {
	r := New()
	r.Process.Mirror(func() ProcessState { return ProcessState{Router: "r1", Incarnation: 7} })
	r.Entry.Denied("REASON")
	r.Entry.SetCustomers([]msg.CustomerID{"CUSTOMER", "idle"})
	c := r.Entry.Customer("CUSTOMER")
	c.Request()
	c.Refused("REASON")
	r.Sharing.Mirror(func() SharingState {
		return SharingState{
			Pools:   map[msg.PoolID]map[msg.CustomerID]Share{"POOL": {"CUSTOMER": {}}},
			Servers: map[msg.ServerID]ServerState{"SERVER": {Slots: 8}},
		}
	})
	r.Sharing.SetServers([]msg.ServerID{"SERVER"})
	r.Retries.Mirror(func() map[msg.PoolID]float64 { return map[msg.PoolID]float64{"POOL": 1} })
	return r
}

// paths lists the leaves of v, joined by dots.
func paths(prefix string, v any, out map[string]bool) {
	m, ok := v.(map[string]any)
	if !ok {
		out[prefix] = true
		return
	}
	for k, child := range m {
		if k == Other {
			continue
		}
		paths(strings.TrimPrefix(prefix+"."+k, "."), child, out)
	}
}

func published(t *testing.T, r *Registry) map[string]any {
	var v map[string]any
	assert.NilError(t, json.Unmarshal([]byte(r.Var().String()), &v))
	return v
}

// units are the words that the page may use for what a name's ending says.
var units = map[string]string{"_seconds": "seconds", "_requests": "requests", "_routers": "routers",
	"_cost": "cost", "_bytes_total": "bytes", "_cost_total": "cost", "_attempts": "attempts"}

func TestPageListsEveryNameAndNoOther(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\S+\.\S+) \| ([^|]+) \| [^|]+ \|$`).FindAllStringSubmatch(string(page), -1) {
		assert.Assert(t, !listed[row[1]], "%s stands twice", row[1])
		listed[row[1]] = true
		for suffix, unit := range units {
			if strings.HasSuffix(row[1], suffix) {
				assert.Equal(t, row[2], unit, row[1])
			}
		}
	}
	have := map[string]bool{}
	paths("", published(t, filled()), have)
	assert.DeepEqual(t, sorted(listed), sorted(have))
}

func sorted(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func TestAnEmptyRegistryIsWholeJSON(t *testing.T) {
	assert.Equal(t, len(published(t, New())), 9)
}

func TestPublishTwiceIsAnErrorAndNoPanic(t *testing.T) {
	if expvar.Get(MapName) == nil { // the process is told to run the tests again
		assert.NilError(t, New().Publish())
	}
	assert.Assert(t, expvar.Get(MapName) != nil)
	_, twice := New().Publish().(*AlreadyPublishedError)
	assert.Assert(t, twice)
}

func TestLabelsAreBounded(t *testing.T) {
	e := newEntry()
	e.SetCustomers([]msg.CustomerID{"a", "b"})
	e.Customer("a").Request()
	e.Customer("nobody").Request()
	e.Customer("noone").Request()
	e.SetCustomers([]msg.CustomerID{"a", "c"})
	v := e.view().Customers
	assert.Equal(t, len(v), 2)
	assert.Equal(t, v["a"].Requests, uint64(1))
	assert.Equal(t, v[Other].Requests, uint64(2))

	var n names
	for i := range 3 * maxNames {
		n.add(strings.Repeat("x", i+1))
	}
	assert.Equal(t, len(n.view()), maxNames+1)
	assert.Equal(t, n.view()[Other], uint64(2*maxNames))
}

func TestObjectivesAndHistogram(t *testing.T) {
	var c Customer
	c.FirstToken(time.Second, 0)
	c.FirstToken(time.Second, time.Second)
	c.FirstToken(time.Hour, time.Second)
	v := c.view()
	assert.Equal(t, v.FirstToken, ObjectiveCounters{Met: 1, Missed: 1})
	assert.Equal(t, v.FirstLatency.Counts[bucket(time.Second)], uint64(2))
	assert.Equal(t, v.FirstLatency.Counts[len(bounds)], uint64(1))
	assert.Equal(t, v.FirstLatency.Sum, InSeconds(time.Hour+2*time.Second))
}

func TestCountsFromManyGoroutines(t *testing.T) {
	r := filled()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				r.Entry.SetCustomers([]msg.CustomerID{"CUSTOMER"})
				r.Entry.Customer("CUSTOMER").Request()
				r.Sharing.Outcome("SERVER", attempt.Completed)
				r.Sharing.Sent(3)
				_ = r.Var().String()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, r.Entry.Customer("CUSTOMER").view().Requests, uint64(801))
	v := r.Sharing.view()
	assert.Equal(t, v.Servers["SERVER"].Ended, uint64(800))
	assert.Equal(t, v.SentBytes, uint64(2400))
}
