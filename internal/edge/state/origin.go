package state

import (
	"github.com/windscale/windscale/internal/core/affinity"
	"github.com/windscale/windscale/internal/core/routing"
)

// SoleOrigin returns where all streams on the route began that may still be resumed, if that is one place: the
// route's only service, whose servers have all run one version for as long as a stream can last. It is an
// *affinity.AmbiguousError if there are several, or if this router has not known the servers and the routes for
// that time: which ones there were before can't be found out.
func (s *State) SoleOrigin(route *routing.Route) (affinity.Origin, *affinity.AmbiguousError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.roster.FollowedFor(now) < affinity.MaxTTL || now.Sub(s.routesSince) < affinity.MaxTTL {
		return affinity.Origin{}, &affinity.AmbiguousError{UnknownHere: true}
	}
	if len(route.Shares) != 1 {
		return affinity.Origin{}, &affinity.AmbiguousError{}
	}
	service := route.Shares[0].Service
	version, ok := s.picker.SoleVersion(service, now)
	if !ok {
		return affinity.Origin{}, &affinity.AmbiguousError{}
	}
	return affinity.Origin{Service: service, Version: version}, nil
}
