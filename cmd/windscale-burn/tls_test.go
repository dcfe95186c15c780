package main

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/fleetcert"
)

func TestReportOverTLSWithAnOperatorsCertificate(t *testing.T) {
	f := newFixture(t)
	a, err := fleetcert.NewAuthority(time.Now())
	assert.NilError(t, err)
	pair, err := a.Router("r1", nil, time.Now())
	assert.NilError(t, err)
	cred, err := fleetcert.NewCredentials(pair, a.Pool())
	assert.NilError(t, err)
	ana, err := a.Operator("ana", time.Now())
	assert.NilError(t, err)
	f.write(t, "ca.pem", string(a.Pair().Cert))
	f.write(t, "ana.pem", string(ana.Cert))
	f.write(t, "ana-key.pem", string(ana.Key))
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := cred.VerifyOperator(*r.TLS)
		assert.Check(t, err)
		assert.Check(t, name == "ana" && r.Header.Get("Authorization") == "")
		_, _ = io.WriteString(w, `{"windscale":{"process":{"router":"r1","incarnation":1},"entry":{}}}`)
	}))
	server.Listener = tls.NewListener(server.Listener, fleetcert.AdminListener(cred))
	server.Start()
	t.Cleanup(server.Close)
	url := strings.Replace(server.URL, "http:", "https:", 1)

	args := []string{"--settings", f.path("settings.ini"), "--interval", "1ms", "--out", f.path("out"),
		"--ca", f.path("ca.pem"), "--cert", f.path("ana.pem"), "--key", f.path("ana-key.pem")}
	assert.Equal(t, run(append(args, "--router", url)), cli.ExitOK)
	report, err := os.ReadFile(f.path("out"))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(report), "missing"), string(report))
	assert.Equal(t, run(append(args, "--router", server.URL)), cli.ExitUsage) // plain HTTP
	assert.Equal(t, run(args[:len(args)-2]), cli.ExitUsage)                   // no key
}
