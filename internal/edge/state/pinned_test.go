package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/roster"
)

// setVersion gives the first n engines the version and the others v1.
func (s *State) setVersion(n int, version string) {
	list, _ := s.Servers()
	for i := range list {
		list[i].Version = "v1"
		if i < n {
			list[i].Version = version
		}
	}
	s.ReplaceServers(list, roster.Stamp{Version: 2}, true)
}

// pinnedRequest returns a request that resumes a stream of the version.
func pinnedRequest(customer, version string) Request {
	req := newRequest(customer)
	req.Pinned, req.Version = true, version
	return req
}

// Guards against refusing streams that are resumed while new ones begin: they may use the servers of
// one version only, whose queues may be longer than the shortest one of all servers.
func TestResumedStreamMayWaitLonger(t *testing.T) {
	now := func() time.Time { return time.Unix(1000, 0) }
	const pending = 12_000 // 200 ms
	s := newLoadedState(now, pending, aboveCapacity)
	s.setVersion(2, "v2")
	assert.Equal(t, s.Place(newRequest("c")).Reason, ReasonBusy)
	for _, version := range []string{"v1", "v2"} {
		p := s.Place(pinnedRequest("c", version))
		assert.Equal(t, p.Reason, ReasonNone)
		assert.Equal(t, p.Choice.Server.Version, version)
	}
	assert.Equal(t, newLoadedState(now, 4*pending, aboveCapacity).Place(pinnedRequest("c", "")).Reason, ReasonBusy, "800 ms is too long")
	assert.Equal(t, s.Place(pinnedRequest("c", "v3")).Reason, ReasonNoneOfVersion)
}

// A stream that the new version of a roll-out began goes on there only while that version may receive
// requests, and one of the other versions never goes on at the new one.
func TestResumedStreamObeysARollout(t *testing.T) {
	now := func() time.Time { return time.Unix(1000, 0) }
	order := rollout.Order{Service: "llm", To: "v2", Duration: time.Minute, Stamp: roster.Stamp{Version: 3}}
	for _, c := range []struct {
		phase   rollout.Phase
		age     time.Duration // since the phase was confirmed
		version string
		reason  RefusalReason
	}{
		{rollout.Ordered, 0, "v2", ReasonNoneOfVersion},
		{rollout.Ordered, 0, "v1", ReasonNone},
		{rollout.Canary, 0, "v2", ReasonNone},
		{rollout.Canary, time.Minute, "v2", ReasonNoneOfVersion},
		{rollout.Canary, 0, "v1", ReasonNone},
		{rollout.RolledBack, 0, "v2", ReasonNoneOfVersion},
		{rollout.RolledBack, 0, "v1", ReasonNone},
		{rollout.Completed, 0, "v2", ReasonNone},
		{rollout.Completed, 0, "v1", ReasonNoneOfVersion},
	} {
		s := newLoadedState(now, 0, withinCapacity)
		s.SetRolloutBounds(rollout.Bounds{Share: 0.1, Slack: 50})
		s.setVersion(4, "v2")
		s.MergeRollout(rollout.Record{Order: order, Phase: c.phase}, c.age)
		p := s.Place(pinnedRequest("a", c.version))
		assert.Equal(t, p.Reason, c.reason, "%v, stream of %s", c.phase, c.version)
		assert.Assert(t, p.Reason != ReasonNone || p.Choice.Server.Version == c.version)
	}
}
