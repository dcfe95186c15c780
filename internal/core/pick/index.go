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
	// minWindow is the minimum number of servers among which the homes of a prompt are selected:
	// few enough to apply rendezvous hashing to each request, and enough to spread the prompts of
	// a failed server.
	minWindow = 128
	// maxFullScan is the number of servers above which a random sample of sampleSize servers is
	// considered before all of them.
	maxFullScan = 256
	sampleSize  = 64
	// apertureSize is how many plain servers of its data centre a router prefers, so that it can
	// keep connections to them open (M. Ohta and others, Finagle's aperture balancers).
	apertureSize = 8
)

// byHash orders servers by the hash of their IDs.
func byHash(a, b *server) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// insert adds the server to a list sorted by hash, unless it is in it already.
func insert(list []*server, s *server) []*server {
	i, found := slices.BinarySearchFunc(list, s, byHash)
	if found {
		return list
	}
	return slices.Insert(list, i, s)
}

// remove removes the server from a list sorted by hash.
func remove(list []*server, s *server) []*server {
	i, found := slices.BinarySearchFunc(list, s, byHash)
	if !found || list[i] != s {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// window returns the servers whose hashes share a prefix with the key, from a list sorted by hash.
// It is the longest prefix that at least minWindow servers share with the key. All routers compute
// the same window without communicating, and adding or removing a server changes it only for keys
// near its hash.
func window(list []*server, key uint64) []*server {
	start := uint64(0)
	for bit := uint64(1) << 63; bit != 0; bit >>= 1 {
		middle := start | bit
		split, _ := slices.BinarySearchFunc(list, middle, func(s *server, hash uint64) int { return cmp.Compare(s.hash, hash) })
		half := list[:split]
		if key&bit != 0 {
			half = list[split:]
			start = middle
		}
		if len(half) < minWindow {
			break
		}
		list = half
	}
	return list
}

// SetServers replaces the list of servers that may receive requests. The state of servers that
// stay listed is kept.
func (p *Picker) SetServers(list []routing.Server, now time.Time) {
	clear(p.services)
	clear(p.nearby)
	clear(p.versions)
	p.generation++
	if len(p.servers) == 0 {
		p.servers = make(map[string]*server, len(list))
		p.serversByKey = make(map[routing.ServerKey]*server, len(list))
	}
	for _, entry := range list {
		s := p.update(entry, now)
		s.generation = p.generation
		if s.accepts {
			p.services[s.listName] = append(p.services[s.listName], s)
			p.versions[s.serviceVersion()] = append(p.versions[s.serviceVersion()], s)
		}
	}
	for _, s := range p.servers {
		if s.generation != p.generation {
			p.unlist(s, now)
		}
	}
	for service, list := range p.services {
		slices.SortFunc(list, byHash)
		for _, s := range list {
			if p.isLocal(s) {
				p.nearby[service] = append(p.nearby[service], s)
			}
		}
	}
	for _, list := range p.versions {
		slices.SortFunc(list, byHash)
	}
	clear(p.apertures)
}

// ChangeServers applies new and changed entries, and removes the servers with the IDs in gone.
func (p *Picker) ChangeServers(changed []routing.Server, gone []string, now time.Time) {
	for _, id := range gone {
		if s := p.servers[id]; s != nil {
			p.unindex(s)
			p.unlist(s, now)
		}
	}
	for _, entry := range changed {
		if s := p.servers[entry.ID]; s != nil {
			p.unindex(s)
		}
		if s := p.update(entry, now); s.accepts {
			p.index(s)
		}
	}
}

// index adds a server that accepts requests to the lists of its service.
func (p *Picker) index(s *server) {
	delete(p.apertures, s.listName)
	p.services[s.listName] = insert(p.services[s.listName], s)
	p.versions[s.serviceVersion()] = insert(p.versions[s.serviceVersion()], s)
	if p.isLocal(s) {
		p.nearby[s.listName] = insert(p.nearby[s.listName], s)
	}
}

// unindex removes a server from the lists of its service.
func (p *Picker) unindex(s *server) {
	delete(p.apertures, s.listName)
	p.services[s.listName] = remove(p.services[s.listName], s)
	p.nearby[s.listName] = remove(p.nearby[s.listName], s)
	key := s.serviceVersion()
	p.versions[key] = remove(p.versions[key], s)
	if len(p.versions[key]) == 0 {
		delete(p.versions, key)
	}
}

// newVersionPrefix begins the name of the list of servers that run the version to which the
// traffic of their service is being moved.
const newVersionPrefix = "new "

// listName returns the name of the list of the service's servers of the new version or of the
// others.
func listName(service string, newVersion bool) string {
	if newVersion {
		return newVersionPrefix + service
	}
	return service
}

// isLocal reports whether the server is in this router's data centre.
func (p *Picker) isLocal(s *server) bool { return s.DataCentre == p.dataCentre }

// hasLocalHomes reports whether this data centre has its own homes for the service's prompts.
func (p *Picker) hasLocalHomes(service string) bool {
	list := p.nearby[service]
	return len(list) >= minLocalEngines && list[0].engine != nil
}

// update applies an entry. A server that has restarted under the same ID is a new server: its
// cache is empty and no requests run there, so all state of the previous start is discarded. It
// stays the home of the same prompts, since these depend on the ID, and other routers look there
// too.
func (p *Picker) update(entry routing.Server, now time.Time) *server {
	s := p.servers[entry.ID]
	if s != nil && !s.unlisted {
		p.listedVersions.remove(s.serviceVersion(), now)
	}
	if s != nil && s.Identity() != entry.Identity() {
		s.accepts = false
		p.forgetServer(s) // requests that are still running end without being counted
		s = nil
	}
	if s == nil {
		s = &server{key: entry.Identity().Key(), hash: xxhash.Sum64String(entry.ID), notice: p.notices[entry.Identity()]}
		p.servers[entry.ID] = s
		p.serversByKey[s.key] = s
	}
	previous := s.Server
	s.Server = entry
	if entry.EntryVersion == 0 && previous.Identity() == entry.Identity() {
		s.EntryVersion = previous.EntryVersion // set by a router of an earlier release
	}
	p.clearIfReadyAgain(s, previous)
	if s.unlisted || !previous.AcceptsRequests() || previous.Identity() != entry.Identity() {
		s.readySince = now
	}
	s.unlisted = false
	p.listedVersions.add(s.serviceVersion())
	group := p.rollouts.Group(entry.Service, entry.Version)
	s.listName = listName(entry.Service, group == rollout.GroupCanary)
	s.accepts = entry.AcceptsRequests() && !p.evacuated[entry.DataCentre] && !p.isLeaving(entry.Identity()) && group != rollout.GroupExcluded
	s.region = p.regions[entry.DataCentre]
	p.describe(s)
	p.applyEntryWarmup(s, previous, now)
	return s
}

// unlist marks the server as no longer listed. It is removed once no requests of this router run
// there.
func (p *Picker) unlist(s *server, now time.Time) {
	if !s.unlisted {
		p.listedVersions.remove(s.serviceVersion(), now)
	}
	s.accepts = false
	s.unlisted = true
	if s.ownLoad.Running == 0 {
		p.forgetServer(s)
	}
}

// forgetServer removes a server that is no longer listed.
func (p *Picker) forgetServer(s *server) {
	delete(p.servers, s.ID)
	delete(p.busy, s.key)
	delete(p.loaded, s)
	delete(p.observed, s)
	p.countClass(s, -1)
	delete(p.withCache, s)
	delete(p.cold, s)
	if p.serversByKey[s.key] == s {
		delete(p.serversByKey, s.key)
	}
}
