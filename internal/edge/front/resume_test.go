package front_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/affinity"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/platform/platformtest"
)

// localStreams is a directory of streams without other routers.
type localStreams struct {
	mu    sync.Mutex
	table *affinity.Table
}

func (l *localStreams) RecordStream(k affinity.Key, o affinity.Origin, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Record(k, o, ttl, time.Now())
}

func (l *localStreams) FindStream(_ context.Context, k affinity.Key) (affinity.Origin, *affinity.UnknownError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, _, ok := l.table.Find(k, time.Now()); ok {
		return o, nil
	}
	return affinity.Origin{}, &affinity.UnknownError{Asked: 1, Answered: 1}
}

// resume sends a request with the given resume headers, which may be empty.
func (r *rig) resume(path, key, attempt, resumes, last string) answer {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.server.URL+path, strings.NewReader("body"))
	assert.NilError(r.t, err)
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, attempt, key, 2*time.Second, "p"+attempt+":600,bb:100")
	platformtest.SetResumeHeaders(req.Header, resumes, last)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{attempt: attempt, status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// Every combination of the headers with which a caller may resume a stream has a defined answer, and a
// refusal has not run.
func TestResumeHeaders(t *testing.T) {
	const began = "began"
	for _, c := range []struct {
		name, path, key, resumes, last string
		status                         int
		version                        string // that must have run the request; empty: any
	}{
		{"complete", "/s/x", "k", began, "3", 200, "v1"},
		{"from the beginning", "/s/x", "k", began, "", 200, "v1"},
		{"attempt not named, several versions", "/s/x", "k", "", "3", 503, ""},
		{"attempt unknown", "/s/x", "k", "other", "3", 503, ""},
		{"attempt of another customer", "/s/x", "k2", began, "3", 503, ""},
		{"attempt on another route", "/o/x", "k", began, "3", 503, ""},
		{"attempt too long", "/s/x", "k", strings.Repeat("x", 4000), "3", 503, ""},
		{"neither", "/s/x", "k", "", "", 200, ""},
		{"no stream", "/r/x", "k", began, "3", 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.configureResume()
			engines, plain := r.servers(4)
			r.setVersions(engines, "v2", "v2", "v2", "v1")
			route, _ := r.state.Table()
			r.streams.RecordStream(affinity.KeyOf("ana", route.Route(platformtest.Host, "/s/x").Name, began), affinity.Origin{Service: "llm", Version: "v1"}, time.Minute)
			a := r.resume(c.path, c.key, "attempt", c.resumes, c.last)
			assert.Equal(t, a.status, c.status, a.body)
			ran := append(runs(engines), runs(plain)...)
			if c.status != 200 {
				assert.Equal(t, len(ran), 0, "a refused request has run")
				assert.Assert(t, a.header.Get("Retry-After") != "")
				return
			}
			assert.NilError(t, a.err)
			assert.Equal(t, len(ran), 1)
			assert.Equal(t, ran[0].Resumes, c.resumes)
			assert.Equal(t, ran[0].LastEventID, c.last)
			assert.Assert(t, c.version == "" || ran[0].Version == c.version, "ran at %s", ran[0].Version)
		})
	}
}

// A stream whose version no server runs any more is refused at once: waiting can't help.
func TestStreamOfAFormerVersionIsRefused(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(3)
	r.setVersions(engines, "v1", "v2", "v2")
	began := r.call(context.Background(), "POST", "/s/x", "k", "")
	assert.Equal(t, began.status, 200)
	version := runs(engines)[0].Version
	list, _ := r.state.Servers()
	for i := range list {
		if list[i].Version == version && list[i].Service == "llm" {
			list[i].State = routing.ServerDraining
		}
	}
	r.state.ReplaceServers(list, roster.Stamp{Version: 3}, true)
	a := r.resume("/s/x", "k", "resumes", began.attempt, "3")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, strings.Contains(a.body, "no server of the stream's version"), a.body)
	assert.Equal(t, len(runs(engines)), 1)
}

// configureStreams installs a newer configuration in which the route /s/ leads to the services.
func (r *rig) configureStreams(services ...string) {
	table, _ := r.state.Table()
	config := *table.Config
	config.Version++
	config.Limits.TokensPerSec++
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		if config.Routes[i].Prefix != "/s/" {
			continue
		}
		config.Routes[i].Shares = nil
		for _, service := range services {
			config.Routes[i].Shares = append(config.Routes[i].Shares, routing.Share{Service: service, Weight: 1})
		}
	}
	assert.Assert(r.t, r.state.ApplyConfig(&config, nil))
}

// Callers of the earlier protocol don't name the attempt. They are served where the stream can have begun at one
// version only: all servers of the route's service have run it for as long as a stream lasts, as far as a router
// can tell that has followed the list of servers and known the routes for that time.
func TestUnnamedAttemptIsResumedAtTheSoleVersion(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, plain := r.servers(3)
	resume := func() (status int, reason string) {
		a := r.resume("/s/x", "k", "a", "", "3")
		return a.status, a.body
	}
	assertRefused := func(reason string) {
		t.Helper()
		status, body := resume()
		assert.Equal(t, status, 503)
		assert.Assert(t, strings.Contains(body, reason), body)
		assert.Equal(t, len(runs(append(engines, plain...))), 0, "a refused request has run")
	}
	wait := func(d time.Duration) { r.stateAhead.Add(int64(d)) }
	r.handler.ServersCurrent = func(context.Context) bool { return true }
	const notKnown, several = "does not know all servers and routes", "several versions"

	assertRefused(notKnown) // the list does not come from the store
	r.state.StoreUp()
	assertRefused(notKnown)
	wait(affinity.MaxTTL - 10*time.Second)
	assertRefused(notKnown)
	wait(20 * time.Second)
	r.setVersions(engines, "v1", "v1", "v2")
	assertRefused(several)
	r.setVersions(engines, "v1", "v1", "v1")
	assertRefused(several) // v2 and the version before v1 are gone, their streams are not
	wait(affinity.MaxTTL)
	r.configureStreams("app")
	assertRefused(notKnown) // the route led to another service
	r.configureStreams("llm")
	wait(affinity.MaxTTL)
	r.state.StoreDown()
	r.state.StoreUp()
	assertRefused(notKnown) // a version may have come and gone meanwhile
	wait(affinity.MaxTTL)
	r.configureStreams("llm") // changes something else
	status, body := resume()
	assert.Equal(t, status, 200, body)
	assert.Equal(t, runs(engines)[0].Version, "v1")
	r.configureStreams("llm", "app")
	wait(affinity.MaxTTL)
	assert.Equal(t, r.resume("/s/x", "k", "b", "", "3").status, 503, "the route is split between two services")
}

// Guards against streams of two versions at a router that is out of step: it was cut off or suspended while
// servers of a new version joined, where other routers begin streams.
func TestUnnamedAttemptIsRefusedWhileTheListMayBeOld(t *testing.T) {
	for name, c := range map[string]struct {
		check  func(r *rig, engines []*platformtest.Server) bool
		status int
	}{
		"current":                       {func(*rig, []*platformtest.Server) bool { return true }, 200},
		"old or not known":              {func(*rig, []*platformtest.Server) bool { return false }, 503},
		"a version joined meanwhile":    {func(r *rig, engines []*platformtest.Server) bool { r.setVersions(engines, "v1", "v2"); return true }, 503},
		"the route has moved meanwhile": {func(r *rig, _ []*platformtest.Server) bool { r.configureStreams("app"); return true }, 503},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			engines, _ := r.servers(2)
			r.state.StoreUp()
			r.stateAhead.Add(int64(affinity.MaxTTL))
			r.handler.ServersCurrent = func(context.Context) bool { return c.check(r, engines) }
			a := r.resume("/s/x", "k", "a", "", "3")
			assert.Equal(t, a.status, c.status, a.body)
			if c.status == 503 {
				assert.Equal(t, len(runs(engines)), 0)
				assert.Assert(t, a.header.Get("Retry-After") != "")
			}
		})
	}
}
