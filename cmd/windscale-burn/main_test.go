package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/settingsstore"
	"github.com/windscale/windscale/internal/standin/platform"
)

const settingsText = `[tree]
first_token = 1s
objective_fraction = 0.9
[tree/g]
[tree/g/desk]
keys = none
`

// fixture is a platform whose host list names two routers, of which one can
// be read.
type fixture struct {
	dir      string
	platform string
	router   string
	customer *metrics.Customer
}

func newFixture(t *testing.T) fixture {
	f := fixture{dir: t.TempDir()}
	reg := metrics.New()
	reg.Process.Mirror(func() metrics.ProcessState { return metrics.ProcessState{Router: "r1", Incarnation: 1} })
	reg.Entry.SetCustomers([]msg.CustomerID{"g/desk"})
	f.customer = reg.Entry.Customer("g/desk")
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.Header.Get("Authorization"), "Bearer secret")
		_, _ = io.WriteString(w, `{"windscale":`+reg.Var().String()+`}`)
	}))
	t.Cleanup(router.Close)
	plat := httptest.NewServer(platform.New(0))
	t.Cleanup(plat.Close)
	f.platform, f.router = plat.URL, router.URL
	hosts := `[{"id":"r1","role":"router","addr":"127.0.0.1:2","dataCentre":"dc1","state":"live","admin":"` +
		strings.TrimPrefix(router.URL, "http://") + `"},
		{"id":"r2","role":"router","addr":"127.0.0.1:3","dataCentre":"dc1","state":"live","admin":"127.0.0.1:1"},
		{"id":"e1","role":"server","addr":"127.0.0.1:4","dataCentre":"dc1","state":"live"}]`
	req, err := http.NewRequest(http.MethodPut, plat.URL+"/_hosts", strings.NewReader(hosts))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Assert(t, resp.StatusCode < 300)
	f.write(t, "token", "secret\n")
	f.write(t, "settings.ini", settingsText)
	return f
}

func (f fixture) path(name string) string { return filepath.Join(f.dir, name) }

func (f fixture) write(t *testing.T, name, text string) {
	assert.NilError(t, os.WriteFile(f.path(name), []byte(text), 0o600))
}

func (f fixture) accept(t *testing.T) {
	client := httpplatform.New(f.platform, nil)
	_, err := settingsstore.New(client, client).Accept(context.Background(), settingsstore.Edit{
		ID: settingsstore.NewEditID(), Source: []byte(settingsText), Editor: "test",
	})
	assert.NilError(t, err)
}

func TestReportFromThePlatform(t *testing.T) {
	f := newFixture(t)
	args := []string{"--platform", f.platform, "--admin-token-file", f.path("token"),
		"--samples", f.path("samples"), "--readings", "1", "--output", "json", "--out", f.path("out")}
	assert.Equal(t, run(args), cli.ExitFailed, "no settings yet")
	f.accept(t)
	assert.Equal(t, run(args), cli.ExitOK)
	f.customer.Request()
	f.customer.Answered(time.Second)
	f.customer.FirstToken(time.Minute, time.Second)
	assert.Equal(t, run(args), cli.ExitOK) // the readings last between the runs
	b, err := os.ReadFile(f.path("out"))
	assert.NilError(t, err)
	var report struct {
		Windows []burn.WindowCoverage `json:"windows"`
		Rows    []struct {
			ID        string
			Objective string
			Burns     []burn.Burn
		} `json:"rows"`
	}
	assert.NilError(t, json.Unmarshal(b, &report))
	assert.Equal(t, report.Windows[0].Routers[0].Router, msg.RouterID("r2"))
	assert.Assert(t, report.Windows[0].Routers[0].MissingNow && report.Windows[0].Partial)
	found := false
	for _, row := range report.Rows {
		if row.ID == "g/desk" && row.Objective == "first-token" {
			found = true
			assert.Equal(t, row.Burns[0].State, burn.Measured)
			assert.Assert(t, row.Burns[0].Rate > 9.99 && row.Burns[0].Rate < 10.01)
		}
	}
	assert.Assert(t, found)

	html := append(args, "--output", "html")
	assert.Equal(t, run(html), cli.ExitOK)
	b, err = os.ReadFile(f.path("out"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(b), "<svg"))
}

func TestReportWithoutThePlatform(t *testing.T) {
	f := newFixture(t)
	args := []string{"--router", f.router, "--settings", f.path("settings.ini"), "--admin-token-file", f.path("token"),
		"--interval", "1ms", "--out", f.path("out")}
	assert.Equal(t, run(args), cli.ExitOK)
	b, err := os.ReadFile(f.path("out"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(b), "g/desk"), string(b))
}

func TestWrongUse(t *testing.T) {
	f := newFixture(t)
	f.write(t, "bad.ini", "[tree]\nweigth = 1\n")
	token := []string{"--admin-token-file", f.path("token")}
	for _, args := range [][]string{
		{},
		{"--no-such-flag"},
		{"--admin-token-file", f.path("absent"), "--platform", f.platform},
		token,
		append(token, "--router", f.router),
		append(token, "--router", f.router, "--settings", f.path("bad.ini")),
		append(token, "--router", f.router, "--settings", f.path("absent")),
		append(token, "--platform", f.platform, "--samples", f.path("bad.ini")),
		append(token, "--platform", f.platform, "--output", "xml"),
		append(token, "--platform", f.platform, "extra"),
	} {
		assert.Equal(t, run(args), cli.ExitUsage, "%v", args)
	}
	assert.Equal(t, run([]string{"--help"}), cli.ExitOK)
	assert.Equal(t, run(append(token, "--platform", "http://127.0.0.1:1")), cli.ExitFailed)
}
