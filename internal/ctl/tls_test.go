package ctl

import (
	"crypto/tls"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/settingsstore"
)

// addTLSRouter adds a router to the host list under id, whose certificate
// names the router proven.
func (f *fleetUnderTest) addTLSRouter(a *fleetcert.Authority, id string, proven msg.RouterID) {
	pair, err := a.Router(proven, nil, time.Now())
	assert.NilError(f.t, err)
	cred, err := fleetcert.NewCredentials(pair, a.Pool())
	assert.NilError(f.t, err)
	client := httpplatform.New(f.url, nil)
	r := &stub{id: msg.RouterID(id), follower: settingsstore.NewFollower(settingsstore.Config{Table: client, Objects: client})}
	server := httptest.NewUnstartedServer(admin.Handler(r, admin.Auth{Token: token, TLS: cred}))
	server.Listener = tls.NewListener(server.Listener, fleetcert.AdminListener(cred))
	server.Start()
	f.t.Cleanup(server.Close)
	f.addHost(id, strings.TrimPrefix(server.URL, "http://"))
	f.putHosts()
}

func (f *fleetUnderTest) writePair(name string, p fleetcert.Pair, err error) {
	assert.NilError(f.t, err)
	f.write(name+".pem", string(p.Cert))
	f.write(name+"-key.pem", string(p.Key))
}

func TestAdminOverTLS(t *testing.T) {
	f := newFleet(t)
	now := time.Now()
	a, err := fleetcert.NewAuthority(now)
	assert.NilError(t, err)
	other, err := fleetcert.NewAuthority(now)
	assert.NilError(t, err)
	f.addTLSRouter(a, "r3", "r3")
	f.addTLSRouter(a, "r4", "r5") // another router at r4's address
	f.addTLSRouter(other, "r6", "r6")
	f.write("ca.pem", string(a.Pair().Cert))
	p, err := a.Operator("ana", now)
	f.writePair("ana", p, err)
	p, err = other.Operator("bo", now)
	f.writePair("bo", p, err)
	p, err = a.Operator("old", now.AddDate(-5, 0, 0))
	f.writePair("old", p, err)
	p, err = a.Router("r9", nil, now)
	f.writePair("r9", p, err)

	for name, c := range map[string]struct {
		router, flags string // a name in place of a file: below f.dir
		code          int
		note          string
	}{
		"operator":               {"r3", "--ca ca.pem --cert ana.pem --key ana-key.pem", cli.ExitOK, ""},
		"token":                  {"r3", "--ca ca.pem --admin-token-file token", cli.ExitOK, ""},
		"expired with the token": {"r3", "--ca ca.pem --cert old.pem --key old-key.pem --admin-token-file token", cli.ExitOK, ""},
		"another router":         {"r4", "--ca ca.pem --cert ana.pem --key ana-key.pem", cli.ExitFailed, "another router than expected: r5"},
		"router of another CA":   {"r6", "--ca ca.pem --cert ana.pem --key ana-key.pem", cli.ExitFailed, "not issued by the fleet's CA"},
		"router without TLS":     {"r1", "--ca ca.pem --cert ana.pem --key ana-key.pem", cli.ExitFailed, "router r1"},
		"plain HTTP":             {"r3", "--admin-token-file token", cli.ExitFailed, "answers 400"},
		"expired":                {"r3", "--ca ca.pem --cert old.pem --key old-key.pem", cli.ExitFailed, "answers 401"},
		"operator of another CA": {"r3", "--ca ca.pem --cert bo.pem --key bo-key.pem", cli.ExitFailed, "answers 401"},
		"a router's certificate": {"r3", "--ca ca.pem --cert r9.pem --key r9-key.pem", cli.ExitUsage, "--cert: "},
		"no credential":          {"r3", "--ca ca.pem", cli.ExitUsage, "--admin-token-file is needed"},
		"no CA":                  {"r3", "--cert ana.pem --key ana-key.pem", cli.ExitUsage, "--cert needs --ca"},
		"no key":                 {"r3", "--ca ca.pem --cert ana.pem", cli.ExitUsage, "together"},
		"key of another":         {"r3", "--ca ca.pem --cert ana.pem --key bo-key.pem", cli.ExitUsage, "malformed PEM"},
		"no such file":           {"r3", "--ca none.pem --cert ana.pem --key ana-key.pem", cli.ExitUsage, "none.pem"},
		"a key in place of a CA": {"r3", "--ca ana-key.pem --admin-token-file token", cli.ExitUsage, "--ca: "},
		"no such token file":     {"r3", "--admin-token-file none", cli.ExitUsage, "none"},
	} {
		t.Run(name, func(t *testing.T) {
			args := []string{"--platform", f.url, "drain", c.router}
			for _, word := range strings.Fields(c.flags) {
				if !strings.HasPrefix(word, "--") {
					word = filepath.Join(f.dir, word)
				}
				args = append(args, word)
			}
			var out, note strings.Builder
			code := Run(t.Context(), args, &out, &note)
			assert.Equal(t, code, c.code, note.String())
			assert.Assert(t, strings.Contains(note.String(), c.note), note.String())
		})
	}
	var out, note strings.Builder
	flags := []string{"--platform", f.url, "--output", "json", "--ca", filepath.Join(f.dir, "ca.pem"), "--admin-token-file", filepath.Join(f.dir, "token")}
	assert.Equal(t, Run(t.Context(), append(flags, "status"), &out, &note), cli.ExitOK, note.String())
	assert.Assert(t, strings.Contains(out.String(), `"draining": true`), out.String())
}
