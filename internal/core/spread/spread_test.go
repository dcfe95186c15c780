package spread

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// fleet returns the views of n routers in 3 data centres that have all heard of each other.
func fleet(n int) []*View {
	var members []Member
	for i := range n {
		members = append(members, Member{Addr: fmt.Sprintf("10.%d.0.%03d:1", i%3, i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	var views []*View
	for _, m := range members {
		s := New(m)
		for _, other := range members {
			s.Observe(other, 0, start)
		}
		views = append(views, s)
	}
	return views
}

func TestSmallFleetIsAMesh(t *testing.T) {
	for _, s := range fleet(6) {
		assert.Equal(t, len(s.Targets(start, 0).Own), 5)
	}
}

// The number of reports that a router sends does not grow with the fleet, except for the reports
// of reporters to their own data centre.
func TestFanOutIsBounded(t *testing.T) {
	for _, n := range []int{58, 410} {
		reporters := 0
		for _, s := range fleet(n) {
			got := s.Targets(start, 0)
			if !s.IsReporter() {
				assert.Equal(t, len(got.Own), reportersPerCentre)
				assert.Equal(t, len(got.Sum)+len(got.Total), 0)
				continue
			}
			reporters++
			assert.Equal(t, len(got.Own), reportersPerCentre-1)
			assert.Equal(t, len(got.Sum), 2)
			assert.Assert(t, len(got.Total) <= n/3)
		}
		assert.Equal(t, reporters, 3*reportersPerCentre)
	}
}

// A reporter that fails is replaced by the next-ranked router as soon as it is silent.
func TestSilentReporterIsReplaced(t *testing.T) {
	s := New(Member{Addr: "10.0.0.9:1", DataCentre: "a"})
	for i := range 20 {
		s.Observe(Member{Addr: fmt.Sprintf("10.0.0.%02d:1", 10+i), DataCentre: "a"}, 0, start)
	}
	assert.DeepEqual(t, s.Reporters("a"), []string{"10.0.0.10:1", "10.0.0.11:1"})
	s.Targets(start, 0)
	later := start.Add(unresponsiveAfter)
	for i := 1; i < 20; i++ {
		s.ObserveDirect(Member{Addr: fmt.Sprintf("10.0.0.%02d:1", 10+i), DataCentre: "a"}, later)
	}
	assert.DeepEqual(t, s.Tick(later), []string{"10.0.0.10:1"})
	assert.DeepEqual(t, s.Reporters("a"), []string{"10.0.0.11:1", "10.0.0.12:1"})
}

// A few routers follow the store, in different data centres where possible, and all routers agree
// on them.
func TestReadersAreFewAndAgreedOn(t *testing.T) {
	for _, n := range []int{58, 410} {
		readers := map[string]bool{}
		for _, s := range fleet(n) {
			if s.IsReader() {
				readers[s.self.DataCentre] = true
				assert.Assert(t, s.IsReporter())
			}
		}
		assert.Equal(t, len(readers), maxReaders)
	}
	assert.DeepEqual(t, selectReaders(map[string][]string{"b": {"b1", "b2"}, "a": {"a1"}}), []string{"a1", "b1", "b2"})
}

// Hosts with the most processor time become reporters, whatever their addresses. Later information
// about a host's size takes effect.
func TestReportersAreTheLargestHosts(t *testing.T) {
	s := New(Member{Addr: "10.0.0.01:1", DataCentre: "a", Cores: 0.2})
	for i := range 20 {
		s.Observe(Member{Addr: fmt.Sprintf("10.0.0.%02d:1", 10+i), DataCentre: "a", Cores: 0.2}, 0, start)
	}
	assert.Assert(t, s.IsReporter())
	s.Observe(Member{Addr: "10.0.0.25:1", DataCentre: "a", Cores: 0.8}, 0, start)
	s.Observe(Member{Addr: "10.0.0.20:1", DataCentre: "a", Cores: 0.8}, 0, start)
	assert.DeepEqual(t, s.Reporters("a"), []string{"10.0.0.20:1", "10.0.0.25:1"})
	assert.Assert(t, !s.IsReporter())
	s.Observe(Member{Addr: "10.0.0.20:1", DataCentre: "a"}, 0, start)
	// A report without a size does not change the known size.
	assert.DeepEqual(t, s.Reporters("a"), []string{"10.0.0.20:1", "10.0.0.25:1"})
}

func TestSilentRouterIsProbed(t *testing.T) {
	s := New(Member{Addr: "a:1"})
	s.Add(Member{Addr: "b:1"}, true, start)
	assert.DeepEqual(t, s.Targets(start, 0).Own, []string{"b:1"})
	assert.Equal(t, len(s.Targets(start.Add(time.Second), 0).Own), 0)
	assert.DeepEqual(t, s.Targets(start.Add(probeInterval), 0).Own, []string{"b:1"})
	s.Tick(start.Add(10 * forgetAfter))
	assert.Equal(t, s.FleetSize(), 2, "a seed is not forgotten")
}

// A relayed report counts only for as long as the relaying router's own information is recent.
func TestOldRelayedReportDoesNotReviveARouter(t *testing.T) {
	s := New(Member{Addr: "a:1"})
	assert.Assert(t, !s.Observe(Member{Addr: "b:1"}, LiveTimeout, start))
	assert.Equal(t, len(s.Live()), 0)
	assert.Assert(t, s.Observe(Member{Addr: "b:1"}, LiveTimeout/2, start))
	assert.Equal(t, len(s.Live()), 1)
}

// The report period is one tick up to the largest size in use today with spares, and doubles with
// each doubling of the fleet above.
func TestReportPeriodGrowsWithTheFleet(t *testing.T) {
	for n, period := range map[int]int{6: 1, 64: 1, 96: 1, 97: 2, 192: 2, 300: 4, 410: 8} {
		assert.Equal(t, fleet(n)[0].ReportPeriod(), period, "%d", n)
	}
}

// The store stops answering 295 routers for 8 s. If all of them queried it, the calls would be
// unbounded, so only a few of each data centre do. Their number grows the longer there is no
// answer, since the store may reject some routers and serve others.
func TestFallbackReadersDoubleWhileTheStoreIsSilent(t *testing.T) {
	views := fleet(295)
	count := func(overdue time.Duration) (n int) {
		for _, s := range views {
			if s.IsFallbackReader(overdue) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count(-time.Millisecond), 0)
	assert.Equal(t, count(0), 3*initialFallbackReaders)
	assert.Equal(t, count(fallbackDoublingTime), 6*initialFallbackReaders)
	assert.Equal(t, count(3*fallbackDoublingTime), 24*initialFallbackReaders)
	assert.Equal(t, count(time.Minute), 295)
}

// Each data centre's sum goes to one reporter of each other data centre at a time and alternates
// between them. The two reporters of a data centre address different ones.
func TestSumsAlternateBetweenReporters(t *testing.T) {
	received := map[int]map[string]int{}
	for _, s := range fleet(58) {
		for turn := range 2 {
			if received[turn] == nil {
				received[turn] = map[string]int{}
			}
			for _, addr := range s.Targets(start, turn).Sum {
				received[turn][addr]++
			}
		}
	}
	for turn := range 2 {
		assert.Equal(t, len(received[turn]), 3*reportersPerCentre)
		for addr, n := range received[turn] {
			assert.Equal(t, n, 2, "%s hears one sum of each other data centre", addr)
		}
	}
}
