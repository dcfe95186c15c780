package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/affinity"
	"github.com/windscale/windscale/internal/core/routing"
)

// versionServers returns n engines that run the versions in turn.
func versionServers(n int, versions ...string) (list []routing.Server) {
	for i := range n {
		list = append(list, routing.Server{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Addr: fmt.Sprintf("a%d", i),
			DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 64, State: routing.ServerReady, Version: versions[i%len(versions)]})
	}
	return list
}

// A pinned request gets a server of its version as long as one accepts requests, whatever the list of
// servers looks like and however it came about.
func TestPinnedRequestStaysAtItsVersion(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 7))
		p := newSeededPicker(0, seed)
		list := versionServers(40, "v1", "v2", "v3")
		p.SetServers(list, start)
		for step := range 300 {
			i := rng.IntN(len(list))
			switch rng.IntN(3) {
			case 0:
				list[i].Version = fmt.Sprintf("v%d", 1+rng.IntN(3))
				list[i].Born++ // another start
			case 1:
				list[i].State = routing.ServerDraining
			default:
				list[i].State = routing.ServerReady
			}
			if rng.IntN(20) == 0 {
				p.SetServers(list, at(step))
			} else {
				p.ChangeServers(list[i:i+1], nil, at(step))
			}
			for _, version := range []string{"v1", "v2", "v3", "", "v9"} {
				accepting := 0
				for _, s := range list {
					if s.Version == version && s.AcceptsRequests() {
						accepting++
					}
				}
				req := Request{Service: "llm", Pinned: true, Version: version, Prompt: prompt(step%7, step)}
				c, ok := p.Choose(req, at(step))
				assert.Equal(t, ok, accepting > 0, "seed %d step %d version %q", seed, step, version)
				assert.Assert(t, !ok || c.Server.Version == version && c.Server.AcceptsRequests())
				if !ok {
					reason, _ := p.WhyUnavailable(req, at(step))
					assert.Equal(t, reason, NoneOfVersion)
				}
			}
		}
	}
}

// The list of a version that no server runs any more takes no memory.
func TestListsOfFormerVersionsAreDropped(t *testing.T) {
	p := newSeededPicker(0, 1)
	for n := range 50 {
		p.ChangeServers(versionServers(3, fmt.Sprintf("v%d", n)), nil, at(n))
	}
	assert.Equal(t, len(p.versions), 2, "one list for each service")
}

// The sole version is reported exactly if one version is listed and none other was within the longest
// lifetime of a stream, compared with a history of the whole list.
func TestSoleVersionAgreesWithTheHistoryOfTheList(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 9))
		p := newSeededPicker(0, seed)
		list := map[string]routing.Server{}
		goneAt := map[string]time.Time{}
		now := start
		known := 0
		for step := range 400 {
			now = now.Add(time.Duration(rng.IntN(16)) * time.Second)
			s := versionServers(4, "v1")[rng.IntN(4)]
			s.Version = fmt.Sprintf("v%d", 1+rng.IntN(1+rng.IntN(2)*rng.IntN(2)))
			s.Born = int64(step)
			before := versionsOf(list)
			switch rng.IntN(4) {
			case 0:
				p.ChangeServers(nil, []string{s.ID}, now)
				delete(list, s.ID)
			case 1:
				list = map[string]routing.Server{s.ID: s}
				p.SetServers([]routing.Server{s}, now)
			default:
				list[s.ID] = s
				p.ChangeServers([]routing.Server{s}, nil, now)
			}
			p.Tick(now)
			after := versionsOf(list)
			for v := range before {
				if !after[v] {
					goneAt[v] = now
				}
			}
			want := len(after) == 1
			for v, at := range goneAt {
				want = want && (after[v] || now.Sub(at) >= affinity.MaxTTL)
			}
			version, ok := p.SoleVersion("llm", now)
			assert.Equal(t, ok, want, "seed %d step %d: %v, %v", seed, step, after, goneAt)
			if ok {
				known++
				assert.Assert(t, after[version])
			}
		}
		assert.Assert(t, known > 0, "seed %d", seed)
	}
}

func versionsOf(list map[string]routing.Server) map[string]bool {
	versions := map[string]bool{}
	for _, s := range list {
		versions[s.Version] = true
	}
	return versions
}
