package node

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// resumedStreams is the number of streams in a test. If versions were chosen at random, all of them
// would match by chance once in 2^resumedStreams runs.
const resumedStreams = 30

// unnamed stands for the attempt that began a stream if its caller doesn't name it.
const unnamed = "(unnamed)"

// setVersions gives the first half of the servers version v1 and the others v2.
func (f *fleet) setVersions() {
	for i, s := range f.servers {
		s.Version = "v1"
		if i >= len(f.servers)/2 {
			s.Version = "v2"
		}
		s.Gap = 5 * time.Millisecond
		f.store.PutServer(s, "ready")
	}
}

// begin begins a stream and disconnects after its first event. It returns the attempt's ID.
func (m *member) begin() string {
	id := fmt.Sprintf("begin-%d", m.fleet.attemptCount.Add(1))
	status, events := m.stream(id, "", 1)
	assert.Equal(m.fleet.t, status, http.StatusOK)
	assert.Equal(m.fleet.t, events, 1)
	return id
}

// beginStreams begins resumedStreams streams and returns their attempts' IDs.
func (m *member) beginStreams() (began []string) {
	for range resumedStreams {
		began = append(began, m.begin())
	}
	return began
}

// resume resumes the stream that the attempt began, and returns the status and its own attempt's ID.
func (m *member) resume(began string) (status int, attempt string) {
	attempt = fmt.Sprintf("resume-%d", m.fleet.attemptCount.Add(1))
	status, _ = m.stream(attempt, began, 0)
	return status, attempt
}

// stream requests a stream and reads the given number of events, or all of them if it is 0. The
// status is 0 if there is no response.
func (m *member) stream(attempt, resumes string, limit int) (status, events int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.addr(0)+"/s/x", strings.NewReader("body of "+attempt))
	assert.NilError(m.fleet.t, err)
	req.Host = platformtest.Host
	// Prompts without a common prefix have different homes, as the same prompt has under load.
	platformtest.SetRequestHeaders(req.Header, attempt, "k", 5*time.Second, "p"+attempt+":600,bb:100")
	switch resumes {
	case "":
	case unnamed:
		platformtest.SetResumeHeaders(req.Header, "", "1")
	default:
		platformtest.SetResumeHeaders(req.Header, resumes, "1")
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for (limit == 0 || events < limit) && lines.Scan() {
		if lines.Text() == "" && resp.StatusCode == http.StatusOK {
			events++
		}
	}
	return resp.StatusCode, events
}

// versionOf returns the version of the server that ran the attempt; empty: none did.
func (f *fleet) versionOf(attempt string) (version string) {
	for _, s := range f.servers {
		for _, run := range s.Runs() {
			if run.Attempt == attempt {
				assert.Assert(f.t, version == "" || version == run.Version, "%s ran at two versions", attempt)
				version = run.Version
			}
		}
	}
	return version
}

// assertResumed resumes the streams at the router and checks that all of them go on, at the version
// that began them.
func assertResumed(t *testing.T, m *member, began []string) {
	t.Helper()
	for _, first := range began {
		status, attempt := m.resume(first)
		if version := m.fleet.versionOf(attempt); version != "" {
			assert.Equal(t, version, m.fleet.versionOf(first), "%s went on at another version", first)
		}
		assert.Equal(t, status, http.StatusOK, "%s did not go on", first)
	}
}

// Guards against callers' streams that hold events of two software versions: a caller whose router
// failed resumed its stream at another router, which had seen nothing of it and chose any version.
func TestCallerResumesAtTheVersionThatBeganItsStream(t *testing.T) {
	t.Run("at another router", func(t *testing.T) {
		f := newFleet(t, 51)
		f.setVersions()
		a := f.start("127.0.51.1")
		b := f.start("127.0.51.2", a)
		awaitEachOther(t, a, b)
		began := a.beginStreams()
		assertResumed(t, b, began)
	})
	t.Run("after the first router was killed", func(t *testing.T) {
		f := newFleet(t, 52)
		f.setVersions()
		a := f.start("127.0.52.1")
		b := f.start("127.0.52.2", a)
		c := f.start("127.0.52.3", a)
		d := f.start("127.0.52.4", a)
		awaitEachOther(t, a, b, c, d)
		began := a.beginStreams()
		a.kill()
		assertResumed(t, c, began)
	})
	t.Run("again and again", func(t *testing.T) {
		f := newFleet(t, 53)
		f.setVersions()
		a := f.start("127.0.53.1")
		b := f.start("127.0.53.2", a)
		awaitEachOther(t, a, b)
		began := a.begin()
		for range resumedStreams {
			assertResumed(t, b, []string{began})
			assertResumed(t, a, []string{began})
		}
	})
	t.Run("at a router that has just started", func(t *testing.T) {
		f := newFleet(t, 54)
		f.setVersions()
		a := f.start("127.0.54.1")
		b := f.start("127.0.54.2", a)
		awaitEachOther(t, a, b)
		began := a.beginStreams()
		c := f.start("127.0.54.3", a)
		awaitEachOther(t, a, b, c)
		assertResumed(t, c, began)
	})
}

// A router that can't learn which version began a stream refuses to resume it.
func TestUnknownStreamsAreNotResumed(t *testing.T) {
	f := newFleet(t, 55)
	f.setVersions()
	a := f.start("127.0.55.1")
	isolated := &member{fleet: f, ip: "127.0.55.9", dataCentre: "dc", ports: reservePorts(t, "127.0.55.9")}
	isolated.start()
	began := a.begin()
	for _, first := range []string{began, "never-begun", strings.Repeat("x", 300)} {
		status, attempt := isolated.resume(first)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, f.versionOf(attempt), "", "a refused request has run")
	}
	assert.Equal(t, isolated.node.peers.Live(), 0)
}

// replaceServers replaces all servers by as many new ones of the version.
func (f *fleet) replaceServers(version string) {
	old := f.servers
	for i := range old {
		s, err := platformtest.NewServer(fmt.Sprintf("i-%s-%d", version, i), "llm", "dc", 5, time.Millisecond)
		assert.NilError(f.t, err)
		f.t.Cleanup(s.Close)
		s.Version = version
		f.servers = append(f.servers, s)
		f.store.PutServer(s, "ready")
	}
	for _, s := range old {
		f.store.Remove("servers", s.ID)
	}
}

// assertNotJoined resumes the streams at the router, both with the attempt that began them and without, and
// checks that none goes on at another version.
func assertNotJoined(t *testing.T, m *member, began []string) {
	t.Helper()
	for _, first := range began {
		for _, resumes := range []string{first, unnamed} {
			status, attempt := m.resume(resumes)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, m.fleet.versionOf(attempt), "", "%s went on elsewhere, resumed as %s", first, resumes)
		}
	}
}

// Guards against streams of two versions after all routers were killed: nobody knows any more which version
// began a stream, and those that serve now need not include it.
func TestStreamsAreNotJoinedAfterAllRoutersWereKilled(t *testing.T) {
	t.Run("the old version has left", func(t *testing.T) {
		f := newFleet(t, 56)
		a := f.start("127.0.56.1")
		b := f.start("127.0.56.2", a)
		awaitEachOther(t, a, b)
		began := a.beginStreams()
		a.kill()
		b.kill()
		f.replaceServers("v2")
		a.start()
		b.start(a)
		awaitEachOther(t, a, b)
		assertNotJoined(t, b, began)
	})
	t.Run("two versions serve", func(t *testing.T) {
		f := newFleet(t, 57)
		f.setVersions()
		a := f.start("127.0.57.1")
		began := a.beginStreams()
		a.kill()
		a.start()
		b := f.start("127.0.57.2", a)
		awaitEachOther(t, a, b)
		assertNotJoined(t, b, began)
	})
}

// Guards against streams of two versions at a router that is out of step: it is cut off from the store and from
// the others while servers of a new version join, where other routers begin streams.
func TestStreamsAreNotJoinedAtARouterOutOfStep(t *testing.T) {
	f := newFleet(t, 58)
	a := f.start("127.0.58.1")
	behind := &member{fleet: f, ip: "127.0.58.9", dataCentre: "dc", ports: reservePorts(t, "127.0.58.9")}
	cut := f.startCuttable(behind)
	cut()
	f.replaceServers("v2")
	began := a.beginStreams()
	for i := 0; f.versionOf(began[0]) != "v2"; i++ {
		assert.Assert(t, i < 100, "the new version gets no requests")
		began = a.beginStreams()
	}
	assertNotJoined(t, behind, began)
}

// startCuttable starts a router, and returns a function that cuts it off from the store.
func (f *fleet) startCuttable(m *member) (cut func()) {
	var isCut atomic.Bool
	own := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isCut.Load() {
			panic(http.ErrAbortHandler)
		}
		f.store.ServeHTTP(w, r)
	}))
	own.Config.ErrorLog = log.New(io.Discard, "", 0)
	f.t.Cleanup(own.Close)
	f.t.Cleanup(own.CloseClientConnections)
	shared := f.storeServer
	f.storeServer = own
	m.start()
	f.storeServer = shared
	return func() {
		isCut.Store(true)
		own.CloseClientConnections()
	}
}

// awaitEachOther waits until each of the routers hears all others.
func awaitEachOther(t *testing.T, members ...*member) {
	t.Helper()
	edgetest.Until(t, "each other", func() bool {
		for _, m := range members {
			if m.node.peers.Live() != len(members)-1 {
				return false
			}
		}
		return true
	})
}
