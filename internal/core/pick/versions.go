package pick

import (
	"time"

	"github.com/windscale/windscale/internal/core/affinity"
)

// serviceVersion identifies the servers of a service that run one software version.
type serviceVersion struct{ service, version string }

func (s *server) serviceVersion() serviceVersion { return serviceVersion{s.Service, s.Version} }

// versionHistory holds which versions are listed, and which were listed so lately that streams which
// they began may still be resumed.
type versionHistory struct {
	listed map[serviceVersion]int       // number of servers
	gone   map[serviceVersion]time.Time // when the last server was unlisted
}

func newVersionHistory() versionHistory {
	return versionHistory{listed: map[serviceVersion]int{}, gone: map[serviceVersion]time.Time{}}
}

// add records that a server is listed.
func (h versionHistory) add(v serviceVersion) { h.listed[v]++ }

// remove records that a server is no longer listed.
func (h versionHistory) remove(v serviceVersion, now time.Time) {
	h.listed[v]--
	if h.listed[v] > 0 {
		return
	}
	delete(h.listed, v)
	h.gone[v] = now
}

// expire removes the versions that began no stream which may still be resumed.
func (h versionHistory) expire(now time.Time) {
	for v, at := range h.gone {
		if now.Sub(at) >= affinity.MaxTTL {
			delete(h.gone, v)
		}
	}
}

// SoleVersion returns the version of the service's servers if no other one was listed for as long as a
// stream can last, as far as this router knows.
func (p *Picker) SoleVersion(service string, now time.Time) (version string, ok bool) {
	for v := range p.listedVersions.listed {
		if v.service != service {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = v.version, true
	}
	for v, at := range p.listedVersions.gone {
		if v.service == service && v.version != version && now.Sub(at) < affinity.MaxTTL {
			return "", false
		}
	}
	return version, ok
}
