package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func after(d time.Duration) time.Time { return start.Add(d) }

// In a fleet of 986 routers in five data centres with ten large hosts each, both reporters of one
// data centre fail at the same moment. The other routers there know each other only through the
// reporters. They must not take each other for lost and must not query the store, and they must
// report to the next-ranked routers before a missing report is noticed.
func TestBothReportersOfADataCentreFailAtOnce(t *testing.T) {
	s := New(Member{Addr: "10.1.9.99:1", DataCentre: "a", Cores: 0.2})
	for i := range 200 {
		s.Observe(Member{Addr: fmt.Sprintf("10.1.0.%03d:1", i), DataCentre: "a", Cores: 0.2}, 0, start)
	}
	large := func(i int) Member {
		return Member{Addr: fmt.Sprintf("10.1.1.%03d:1", i), DataCentre: "a", Cores: 0.8}
	}
	for i := range 10 {
		s.Observe(large(i), 0, start)
	}
	for _, i := range []int{0, 1} {
		s.ObserveDirect(large(i), start)
	}
	assert.DeepEqual(t, s.Targets(start, 0).Own, []string{large(0).Addr, large(1).Addr})
	s.Tick(after(unresponsiveAfter / 2))
	s.Targets(after(unresponsiveAfter/2), 0)
	s.Targets(after(unresponsiveAfter), 0) // no answer: unanswered from here on
	s.Tick(after(2 * unresponsiveAfter))
	got := s.Targets(after(2*unresponsiveAfter), 0).Own
	assert.Assert(t, slices.Contains(got, large(2).Addr) && slices.Contains(got, large(3).Addr), "%v", got)
	assert.Equal(t, s.LiveCount(), 210)
	assert.Assert(t, !s.IsMesh())
	s.ObserveDirect(large(2), after(2*unresponsiveAfter))
	assert.Assert(t, !s.Isolated(after(2*unresponsiveAfter)))
	// A reporter that is back gets reports again.
	s.ObserveDirect(large(0), after(3*unresponsiveAfter))
	assert.DeepEqual(t, s.Reporters("a"), []string{large(0).Addr, large(2).Addr})
}

// A router that hears from no other for LiveTimeout operates on its own.
func TestRouterThatHearsNoOtherIsIsolated(t *testing.T) {
	s := fleet(58)[5]
	assert.Assert(t, !s.Isolated(after(LiveTimeout-time.Millisecond)))
	assert.Assert(t, s.Isolated(after(LiveTimeout)))
	s.ObserveDirect(Member{Addr: "10.0.0.000:1", DataCentre: "dc0"}, after(LiveTimeout))
	assert.Assert(t, !s.Isolated(after(LiveTimeout)))
}

// A reporter drops the routers of its data centre that it no longer hears from. A new reporter
// first gives them time to start reporting to it.
func TestNewReporterAllowsRoutersTimeToReport(t *testing.T) {
	s := New(Member{Addr: "10.0.0.50:1", DataCentre: "a", Cores: 0.8})
	first := Member{Addr: "10.0.0.01:1", DataCentre: "a", Cores: 0.8}
	second := Member{Addr: "10.0.0.02:1", DataCentre: "a", Cores: 0.8}
	s.ObserveDirect(first, start)
	s.ObserveDirect(second, start)
	var others []Member
	for i := range 40 {
		others = append(others, Member{Addr: fmt.Sprintf("10.0.1.%02d:1", i), DataCentre: "a", Cores: 0.2})
		s.Observe(others[i], 0, start)
	}
	s.Tick(start)
	assert.Assert(t, !s.IsReporter())
	s.Targets(after(2*time.Second), 0)
	s.Tick(after(4 * time.Second)) // both are unresponsive
	assert.Assert(t, s.IsReporter())
	reportingFrom := 4*time.Second + scanInterval
	s.Tick(after(reportingFrom))
	for i, m := range others {
		if i > 0 {
			s.ObserveDirect(m, after(5*time.Second))
		}
	}
	s.Tick(after(reportingFrom + LiveTimeout - time.Millisecond))
	assert.Assert(t, s.IsLive(others[0].Addr))
	s.Tick(after(reportingFrom + LiveTimeout + scanInterval))
	assert.Assert(t, !s.IsLive(others[0].Addr))
	assert.Assert(t, s.IsLive(others[1].Addr))
}

// However many routers are silent, a bounded number is probed at a time, each in turn.
func TestProbesAreBounded(t *testing.T) {
	s := New(Member{Addr: "a:1"})
	for i := range 985 {
		s.Add(Member{Addr: fmt.Sprintf("10.0.%d.%03d:1", i/200, i%200)}, false, start)
	}
	probed := map[string]bool{}
	for i := range 200 {
		got := s.Targets(after(time.Duration(i)*20*time.Millisecond), 0).Own
		assert.Assert(t, len(got) <= maxProbes)
		for _, addr := range got {
			probed[addr] = true
		}
	}
	assert.Equal(t, len(probed), 985)
}

// Equal lists have equal digests and different lists have different ones. A change is sent on its
// own.
func TestDigestsDifferExactlyWhenMembersDiffer(t *testing.T) {
	views := fleet(410)
	a, b := views[0], views[4] // of dc0 and dc1
	assert.Equal(t, len(b.CompareDigests(a.Digests(), start)), 0)
	a.TakeChanges()
	lost := views[30].self
	a.markSilent(a.known[lost.Addr])
	assert.DeepEqual(t, b.CompareDigests(a.Digests(), start), []string{lost.DataCentre})
	c := a.TakeChanges()
	assert.Equal(t, len(c.Joined)+len(c.Left), 1)
	assert.Assert(t, c.In("dc1").Left == nil || len(c.In("dc1").Left) == 0)
	b.ApplyChanges(c, after(LiveTimeout))
	assert.Equal(t, len(b.CompareDigests(a.Digests(), after(LiveTimeout))), 0)
}

// Whatever changes are sent and lost, applying the whole list makes both views equal.
func TestFullMemberListResolvesADifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := New(Member{Addr: "t:1", DataCentre: "a", Cores: 4})
		receiver := New(Member{Addr: "u:1", DataCentre: "b", Cores: 0.2})
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			m := Member{Addr: fmt.Sprintf("r%02d:1", rapid.IntRange(0, 30).Draw(t, "router")), DataCentre: "a", Cores: float32(rapid.IntRange(1, 2).Draw(t, "cores"))}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				sender.ObserveDirect(m, now)
			case 1:
				sender.Tick(now)
			case 2:
				receiver.ApplyChanges(sender.TakeChanges().In("a"), now)
			case 3:
				sender.TakeChanges() // the changes are lost
			}
		}
		now = now.Add(LiveTimeout)
		receiver.ObserveDirect(sender.self, now)
		receiver.SetMembers("a", sender.Members("a"), now)
		assert.Equal(t, len(receiver.CompareDigests(map[string]Digest{"a": sender.Digest("a")}, now)), 0)
	})
}

// All routers agree on the reporters although each knows only a quarter of the fleet at first:
// they gossip about the top-ranked routers.
func TestRoutersConvergeOnTheReporters(t *testing.T) {
	var members []Member
	for i := range 150 {
		members = append(members, Member{Addr: fmt.Sprintf("10.0.0.%03d:1", i), DataCentre: fmt.Sprintf("dc%d", i%3), Cores: 0.2 + 0.6*float32(i%10/9)})
	}
	var views []*View
	for i, m := range members {
		s := New(m)
		for k := i % 4; k < len(members); k += 4 {
			s.Observe(members[k], 0, start)
		}
		views = append(views, s)
	}
	now := start
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		for i, s := range views {
			targets := s.Targets(now, 0)
			for _, to := range append(append(targets.Own, targets.Sum...), members[0].Addr) { // seed
				if to == s.self.Addr {
					continue
				}
				k := slices.IndexFunc(members, func(m Member) bool { return m.Addr == to })
				for _, v := range s.TopRanked(now) {
					views[k].Observe(v.Member, v.Age, now)
				}
				views[k].ObserveDirect(members[i], now)
				for _, v := range views[k].TopRanked(now) { // answer
					s.Observe(v.Member, v.Age, now)
				}
				s.ObserveDirect(members[k], now)
			}
		}
	}
	for _, s := range views {
		for _, name := range []string{"dc0", "dc1", "dc2"} {
			assert.DeepEqual(t, s.Reporters(name), views[0].Reporters(name))
		}
	}
}

// A top-ranked router that is lost is no longer passed on after a bounded time, whatever gossip
// circulates.
func TestLostTopRankedRouterIsForgotten(t *testing.T) {
	a, b := fleet(60)[1], fleet(60)[2]
	now := start
	lost := "10.0.0.000:1"
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, pair := range [][2]*View{{a, b}, {b, a}} {
			for _, v := range pair[0].TopRanked(now) {
				if v.Addr != lost || now.Sub(start) < 100*time.Millisecond {
					pair[1].Observe(v.Member, v.Age+time.Millisecond, now)
				} else {
					pair[1].Observe(v.Member, v.Age, now)
				}
			}
		}
	}
	for _, s := range []*View{a, b} {
		for _, v := range s.TopRanked(now) {
			assert.Assert(t, v.Addr != lost)
		}
	}
}
