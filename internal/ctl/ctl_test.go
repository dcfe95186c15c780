package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/settingsstore"
	"github.com/windscale/windscale/internal/sharing"
	standin "github.com/windscale/windscale/internal/standin/platform"
)

const token = "operators-token"

// stub is a router with nothing but its settings.
type stub struct {
	id       msg.RouterID
	follower *settingsstore.Follower
	draining bool
}

func (r *stub) Status() admin.Status {
	s := admin.Status{Router: r.id, Ready: r.follower.Ready(), Draining: r.draining, DataCentre: "dc1"}
	if snap := r.follower.Current(); snap != nil {
		s.SettingsVersion = snap.Version
	}
	return s
}

func (r *stub) Backends() []admin.Backend {
	b := admin.Backend{ID: "e1", Pools: []msg.PoolID{"m/plan-7b"}, AdmittedBy: "r2"}
	if r.id == "r2" {
		b.Running = 3
	}
	return []admin.Backend{b}
}

func (r *stub) Explain(c msg.CustomerID) sharing.Explanation {
	v := share.CustomerView{Pool: "m/plan", Customer: c, Waiting: 2, LongestWait: 1500 * time.Millisecond, WaitingFor: "its turn", PoolSlots: 12, CustomersAhead: 4}
	return sharing.Explanation{Customer: c, Pools: []share.CustomerView{v}}
}
func (r *stub) Drain()                          { r.draining = true }
func (r *stub) SetLink(msg.RouterID, bool) bool { return false }

// fleetUnderTest is a stand-in platform, two routers that follow it and an
// operator.
type fleetUnderTest struct {
	t     *testing.T
	url   string
	dir   string
	hosts []platform.Host
}

func newFleet(t *testing.T) *fleetUnderTest {
	t.Helper()
	server := httptest.NewServer(standin.New(0))
	t.Cleanup(server.Close)
	f := &fleetUnderTest{t: t, url: server.URL, dir: t.TempDir()}
	f.write("token", token+"\n")
	f.addRouter("r1")
	f.addRouter("r2")
	f.putHosts()
	return f
}

func (f *fleetUnderTest) addRouter(id string) {
	client := httpplatform.New(f.url, nil)
	follower := settingsstore.NewFollower(settingsstore.Config{
		Table:    client,
		Objects:  client,
		Interval: 10 * time.Millisecond,
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = follower.Run(ctx) }()
	f.t.Cleanup(func() { stop(); <-done })
	server := httptest.NewServer(admin.Handler(&stub{id: msg.RouterID(id), follower: follower}, admin.Auth{Token: token}))
	f.t.Cleanup(server.Close)
	f.addHost(id, strings.TrimPrefix(server.URL, "http://"))
}

func (f *fleetUnderTest) addHost(id, addr string) {
	f.hosts = append(f.hosts, platform.Host{
		ID:         id,
		Role:       platform.RoleRouter,
		Addr:       "127.0.0.1:2",
		Admin:      addr,
		DataCentre: "dc1",
		State:      platform.HostLive,
	})
}

func (f *fleetUnderTest) putHosts() {
	body, err := json.Marshal(f.hosts)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, f.url+"/_hosts", bytes.NewReader(body))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
}

// fault makes the platform fail as order says.
func (f *fleetUnderTest) fault(order string) {
	resp, err := http.Post(f.url+"/_fault", "application/json", strings.NewReader(order))
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	assert.Assert(f.t, resp.StatusCode < http.StatusBadRequest)
}

func (f *fleetUnderTest) write(name, text string) string {
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs a command line and returns its exit code and output.
func (f *fleetUnderTest) run(args ...string) (code int, out, note string) {
	var o, n bytes.Buffer
	all := append([]string{"--platform", f.url, "--admin-token-file", filepath.Join(f.dir, "token")}, args...)
	code = Run(f.t.Context(), all, &o, &n)
	return code, o.String(), n.String()
}

// ok runs a command line that must succeed.
func (f *fleetUnderTest) ok(args ...string) string {
	f.t.Helper()
	code, out, note := f.run(args...)
	assert.Equal(f.t, code, cli.ExitOK, "%s%s", out, note)
	return out
}

func TestSettingsComeInForceAndRollBack(t *testing.T) {
	f := newFleet(t)
	one := f.write("1.ini", "[tree]\nweight = 1\n[tree/a]\nkeys = none\n")
	two := f.write("2.ini", "[tree]\nweight = 2\n[tree/a]\nkeys = none\n")
	out := f.ok("settings", "apply", one, "--editor", "ana")
	assert.Assert(t, cmp.Contains(out, "version 1 is in force on all 2 live routers"))
	assert.Assert(t, cmp.Contains(f.ok("settings", "diff", two), "~ [tree] weight = 2 (was 1)"))
	f.ok("settings", "apply", two, "--base", "1", "--note", "more")
	f.ok("settings", "rollback", "1", "--base", "2")
	assert.Equal(t, f.ok("settings", "show"), "[tree]\nweight = 1\n[tree/a]\nkeys = none\n")
	assert.Assert(t, cmp.Contains(f.ok("settings", "show", "2"), "weight = 2"))
	var all []settingsstore.Record
	assert.NilError(t, json.Unmarshal([]byte(f.ok("--output", "json", "settings", "history")), &all))
	assert.Equal(t, len(all), 3)
	assert.Equal(t, all[0].RollbackOf, uint64(1))
	assert.Equal(t, all[1].Note, "more")
	assert.Equal(t, all[2].Editor, "ana")
	assert.Assert(t, cmp.Contains(f.ok("customer", "effective", "a"), "weight              1      tree\n"))
	var status fleet
	assert.NilError(t, json.Unmarshal([]byte(f.ok("--output", "json", "status")), &status))
	assert.Equal(t, status.Head.Version, uint64(3))
	assert.Equal(t, len(status.Routers), 2)
	assert.Equal(t, status.Routers[1].Status.SettingsVersion, uint64(3))
	assert.Assert(t, cmp.Contains(f.ok("settings", "apply", one, "--base", "3"), "has this text already"))
}

// A lost reply of the table is settled by reading: the edit is accepted, once.
func TestLostReplyIsSettled(t *testing.T) {
	f := newFleet(t)
	one := f.write("1.ini", "[tree]\n")
	f.fault(`{"service":"table","mode":"lost-reply","count":3}`)
	f.ok("settings", "apply", one)
	var all []settingsstore.Record
	assert.NilError(t, json.Unmarshal([]byte(f.ok("--output", "json", "settings", "history")), &all))
	assert.Equal(t, len(all), 1)
}

func TestSecondOperatorGetsTheDiff(t *testing.T) {
	f := newFleet(t)
	f.ok("settings", "apply", f.write("1.ini", "[tree]\nweight = 1\n"))
	f.ok("settings", "apply", f.write("2.ini", "[tree]\nweight = 2\n"), "--base", "1", "--editor", "ben")
	mine := f.write("3.ini", "[tree]\nweight = 3\n")
	code, _, note := f.run("settings", "apply", mine, "--base", "1")
	assert.Equal(t, code, cli.ExitFailed)
	assert.Assert(t, cmp.Contains(note, "version 2 by ben is in force"))
	assert.Assert(t, cmp.Contains(note, "~ [tree] weight = 2 (was 1)"))
	assert.Assert(t, cmp.Contains(note, "~ [tree] weight = 3 (was 2)"))
	code, _, note = f.run("settings", "apply", mine)
	assert.Equal(t, code, cli.ExitUsage)
	assert.Assert(t, cmp.Contains(note, "--base is needed"))
}

func TestApplySaysWhoLags(t *testing.T) {
	f := newFleet(t)
	f.addHost("r9", "127.0.0.1:1")
	paused := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(paused.Close)
	f.addHost("r8", strings.TrimPrefix(paused.URL, "http://"))
	f.putHosts()
	code, out, note := f.run("--output", "json", "settings", "apply", f.write("1.ini", "[tree]\n"), "--wait", "1s")
	assert.Equal(t, code, cli.ExitFailed)
	assert.Assert(t, cmp.Contains(note, "version 1 is accepted, but after 1s not in force on r8 (no answer), r9 (no answer)"))
	var got applied
	assert.NilError(t, json.Unmarshal([]byte(out), &got))
	assert.DeepEqual(t, got.InForce, []string{"r1", "r2"})
	assert.Equal(t, len(got.Lagging), 2)
}

func TestCheckPrintsEveryFault(t *testing.T) {
	f := newFleet(t)
	bad := f.write("bad.ini", "[fleet]\nmax_bodi = 1\n[tree/a]\nweight = 0\nkeys = none\n")
	code, out, note := f.run("settings", "check", bad)
	assert.Equal(t, code, cli.ExitUsage)
	assert.Equal(t, out, "")
	lines := strings.Split(strings.TrimSpace(note), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Assert(t, cmp.Contains(lines[1], "[fleet] max_bodi: unknown-key"))
	assert.Assert(t, cmp.Contains(lines[2], "[tree/a] weight: bad-value"))
	code, out, _ = f.run("--output", "json", "settings", "check", bad)
	assert.Equal(t, code, cli.ExitUsage)
	assert.Assert(t, cmp.Contains(out, `"kind": "unknown-key"`))
}

func TestKeyFitsTheSettings(t *testing.T) {
	f := newFleet(t)
	var k newKey
	assert.NilError(t, json.Unmarshal([]byte(f.ok("--output", "json", "settings", "key")), &k))
	snap, faults := settings.Build(1, []byte("[tree/a]\nkeys = "+k.SHA256))
	assert.Equal(t, len(faults), 0)
	sum := sha256.Sum256([]byte(k.Key))
	assert.Equal(t, hex.EncodeToString(sum[:]), k.SHA256)
	_, ok := snap.ByKey(sum)
	assert.Assert(t, ok)
}

func TestDrainBackendsAndExplain(t *testing.T) {
	f := newFleet(t)
	assert.Assert(t, cmp.Contains(f.ok("drain", "r1", "--wait", "5s"), "0 requests left"))
	assert.Assert(t, cmp.Contains(f.ok("status"), "draining"))
	var servers []admin.Backend
	assert.NilError(t, json.Unmarshal([]byte(f.ok("--output", "json", "backend", "list")), &servers))
	assert.Equal(t, len(servers), 1)
	assert.Equal(t, servers[0].Running, 3)
	rows := strings.Split(f.ok("explain", "a/b"), "\n")
	assert.DeepEqual(t, strings.Fields(rows[1])[:4], []string{"r1", "m/plan", "2", "1.5s"})
	assert.Assert(t, cmp.Contains(rows[1], "its turn (12 in the pool)"))
	code, _, _ := f.run("drain", "r7")
	assert.Equal(t, code, cli.ExitFailed)
}

func TestUsage(t *testing.T) {
	f := newFleet(t)
	for _, args := range [][]string{
		{},
		{"settings"},
		{"settings", "apply"},
		{"--output", "xml", "status"},
		{"settings", "check", "/no/such/file"},
		{"settings", "check", t.TempDir()}, // opens, but can't be read
		{"settings", "show", "7"},
		{"settings", "check", f.write("a.ini", "[tree]\n"), f.write("b.ini", "[tree]\n")},
		{"settings", "key", "extra"},
		{"drain", "r1", "r2"},
		{"customer", "effective", "x", "--file", f.write("x.ini", "[tree]\n")},
	} {
		code, _, note := f.run(args...)
		assert.Equal(t, code, cli.ExitUsage, "%v", args)
		assert.Assert(t, note != "")
	}
	assert.Assert(t, cmp.Contains(f.ok("--help"), "Exit codes"))
	assert.Assert(t, cmp.Contains(f.ok("--version"), "windscalectl"))
}

func TestTopAddsRoutersUp(t *testing.T) {
	var old, now vars
	old.Windscale.Process.Incarnation, now.Windscale.Process.Incarnation = 1, 1
	old.Windscale.Entry.Customers = map[string]entryCounts{"a": {Requests: 10}}
	now.Windscale.Entry.Customers = map[string]entryCounts{"a": {Requests: 30, Waiting: 2}}
	now.Windscale.Sharing.Pools = map[string]map[string]poolShare{"m/x": {"a": {Wait: 3, WaitsFor: "slot"}}}
	var fresh vars // started in between
	fresh.Windscale.Process.Incarnation = 7
	fresh.Windscale.Entry.Customers = map[string]entryCounts{"a": {Requests: 4}, "b": {Refused: map[string]uint64{"x": 2}}}
	got := sum(map[string]vars{"r1": old, "r2": old}, map[string]vars{"r1": now, "r2": fresh}, 2)
	assert.DeepEqual(t, got, []customerLoad{
		{Customer: "a", Requests: 12, Waiting: 2, Longest: 3, WaitsFor: "slot"},
		{Customer: "b", Refused: 1},
	})
}
