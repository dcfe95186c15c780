package pick

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// windowLeast is the least number of servers among which the homes of a prompt are sought:
	// few enough for rendezvous hashing at each request, and many enough to spread the prompts
	// of a lost server.
	windowLeast = 128
	// scanMost is the number of servers above which a choice does not look at all of them
	// before it has looked at a sample of sampled.
	scanMost = 256
	sampled  = 64
	// apertureSize is how many plain servers of its data centre a router prefers, so that it
	// keeps connections to them (M. Ohta and others, Finagle's aperture balancers).
	apertureSize = 8
)

// byHash orders servers by the hash of their IDs.
func byHash(a, b *server) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// insert adds the server to a list in the order of hashes, unless it is there.
func insert(list []*server, s *server) []*server {
	i, found := slices.BinarySearchFunc(list, s, byHash)
	if found {
		return list
	}
	return slices.Insert(list, i, s)
}

// remove takes the server off a list in the order of hashes.
func remove(list []*server, s *server) []*server {
	i, found := slices.BinarySearchFunc(list, s, byHash)
	if !found || list[i] != s {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// window returns the servers of a list in the order of hashes whose hashes begin with the same
// bits as the key, as many bits as windowLeast servers share with it. Routers agree on it
// without talking, and a server that comes or goes changes it for the keys near its own only.
func window(list []*server, key uint64) []*server {
	from := uint64(0)
	for bit := uint64(1) << 63; bit != 0; bit >>= 1 {
		middle := from | bit
		at, _ := slices.BinarySearchFunc(list, middle, func(s *server, hash uint64) int { return cmp.Compare(s.hash, hash) })
		half := list[:at]
		if key&bit != 0 {
			half = list[at:]
			from = middle
		}
		if len(half) < windowLeast {
			break
		}
		list = half
	}
	return list
}

// SetServers takes the whole list of servers that may get requests. What is known of servers
// that stay is kept.
func (p *Picker) SetServers(list []routing.Server, now time.Time) {
	clear(p.services)
	clear(p.nearby)
	p.round++
	if len(p.servers) == 0 {
		p.servers = make(map[string]*server, len(list))
		p.keyed = make(map[routing.ServerKey]*server, len(list))
	}
	for _, entry := range list {
		s := p.update(entry, now)
		s.round = p.round
		if s.takes {
			p.services[s.list] = append(p.services[s.list], s)
		}
	}
	for _, s := range p.servers {
		if s.round != p.round {
			p.unlist(s)
		}
	}
	for service, list := range p.services {
		slices.SortFunc(list, byHash)
		for _, s := range list {
			if p.isNear(s) {
				p.nearby[service] = append(p.nearby[service], s)
			}
		}
	}
	clear(p.apertures)
}

// ChangeServers takes entries that are new or have changed, and the IDs of servers that are
// listed no more.
func (p *Picker) ChangeServers(changed []routing.Server, gone []string, now time.Time) {
	for _, id := range gone {
		if s := p.servers[id]; s != nil {
			p.unindex(s)
			p.unlist(s)
		}
	}
	for _, entry := range changed {
		if s := p.servers[entry.ID]; s != nil {
			p.unindex(s)
		}
		if s := p.update(entry, now); s.takes {
			p.index(s)
		}
	}
}

// index adds a server that takes requests to the lists of its service.
func (p *Picker) index(s *server) {
	delete(p.apertures, s.list)
	p.services[s.list] = insert(p.services[s.list], s)
	if p.isNear(s) {
		p.nearby[s.list] = insert(p.nearby[s.list], s)
	}
}

// unindex takes a server off them.
func (p *Picker) unindex(s *server) {
	delete(p.apertures, s.list)
	p.services[s.list] = remove(p.services[s.list], s)
	p.nearby[s.list] = remove(p.nearby[s.list], s)
}

// newList begins the name of the list of a service's servers that run a version to which its traffic
// is being moved.
const newList = "new "

// listName returns the name of a list of servers.
func listName(service string, fresh bool) string {
	if fresh {
		return newList + service
	}
	return service
}

// isNear reports whether the server stands in this router's data centre.
func (p *Picker) isNear(s *server) bool { return s.DataCentre == p.dataCentre }

// hasNearHomes reports whether this data centre has homes of its own for the service's prompts.
func (p *Picker) hasNearHomes(service string) bool {
	list := p.nearby[service]
	return len(list) >= nearLeast && list[0].engine != nil
}

// update takes an entry. A server that has started again under its ID is another one: its memory
// is empty, nothing runs there, and what was believed of it was of the life before. Only its
// homes stay, which go by the ID: they are where other routers look too.
func (p *Picker) update(entry routing.Server, now time.Time) *server {
	s := p.servers[entry.ID]
	if s != nil && s.Identity() != entry.Identity() {
		s.takes = false
		p.forgetServer(s) // its requests end by themselves, and are counted no more
		s = nil
	}
	if s == nil {
		s = &server{slow: 1, key: entry.Identity().Key(), hash: xxhash.Sum64String(entry.ID), notice: p.notices[entry.Identity()]}
		p.servers[entry.ID] = s
		p.keyed[s.key] = s
	}
	before := s.Server
	s.Server = entry
	if entry.EntryVersion == 0 && before.Identity() == entry.Identity() {
		s.EntryVersion = before.EntryVersion // from a router of an earlier release
	}
	p.clearIfReadyAgain(s, before)
	if s.unlisted || !before.Takes() || before.Identity() != entry.Identity() {
		s.readySince = now
	}
	s.unlisted = false
	group := p.groups.Group(entry.Service, entry.Version)
	s.list = listName(entry.Service, group == rollout.GroupCanary)
	s.takes = entry.Takes() && !p.evacuated[entry.DataCentre] && !p.isLeaving(entry.Identity()) && group != rollout.GroupExcluded
	s.region = p.regions[entry.DataCentre]
	p.describe(s)
	p.readWarmup(s, before, now)
	return s
}

// unlist notes that the server is listed no more. It is forgotten once nothing of this router
// runs there.
func (p *Picker) unlist(s *server) {
	s.takes = false
	s.unlisted = true
	if s.own.Running == 0 {
		p.forgetServer(s)
	}
}

// forgetServer drops a server that is not listed any more.
func (p *Picker) forgetServer(s *server) {
	delete(p.servers, s.ID)
	delete(p.busy, s.key)
	delete(p.loaded, s)
	delete(p.slowed, s)
	delete(p.caching, s)
	delete(p.cold, s)
	if p.keyed[s.key] == s {
		delete(p.keyed, s.key)
	}
}
