package admin

import (
	"bytes"
	"crypto/tls"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/fleetcert"
)

func credentials(t *testing.T, a *fleetcert.Authority, p fleetcert.Pair, err error) fleetcert.Credentials {
	t.Helper()
	assert.NilError(t, err)
	c, err := fleetcert.NewCredentials(p, a.Pool())
	assert.NilError(t, err)
	return c
}

func TestOverTLSATokenOrAnOperatorsCertificate(t *testing.T) {
	now := time.Now()
	a, err := fleetcert.NewAuthority(now)
	assert.NilError(t, err)
	b, err := fleetcert.NewAuthority(now)
	assert.NilError(t, err)
	router := func(from *fleetcert.Authority) fleetcert.Credentials {
		p, err := from.Router("r1", nil, now)
		return credentials(t, from, p, err)
	}
	operator := func(from *fleetcert.Authority, at time.Time) fleetcert.Credentials {
		p, err := from.Operator("ana", at)
		return credentials(t, from, p, err)
	}
	f := &fakeRouter{}
	var log bytes.Buffer
	s := httptest.NewUnstartedServer(Handler(f, Auth{Token: "token", TLS: router(a), Log: slog.New(slog.NewTextHandler(&log, nil))}))
	s.Listener = tls.NewListener(s.Listener, fleetcert.AdminListener(router(a)))
	s.Start()
	defer s.Close()
	url := strings.Replace(s.URL, "http:", "https:", 1)

	for name, c := range map[string]struct {
		who    fleetcert.Credentials
		token  string
		want   int
		logged string
	}{
		"nothing":                         {want: 401},
		"token":                           {token: "token", want: 202, logged: `operator="" by=token`},
		"wrong token":                     {token: "tokens", want: 401},
		"operator":                        {who: operator(a, now), want: 202, logged: "operator=ana by=certificate"},
		"operator with a wrong token":     {who: operator(a, now), token: "x", want: 202, logged: "operator=ana by=certificate"},
		"router":                          {who: router(a), want: 401},
		"another CA's operator":           {who: operator(b, now), want: 401},
		"expired operator":                {who: operator(a, now.AddDate(-5, 0, 0)), want: 401},
		"expired operator with the token": {who: operator(a, now.AddDate(-5, 0, 0)), token: "token", want: 202, logged: "by=token"},
	} {
		t.Run(name, func(t *testing.T) {
			log.Reset()
			f.drained = false
			// Shown whether or not the server says that it trusts the CA.
			show := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c.who.Cert, nil }
			dial := fleetcert.Credentials{CA: a.Pool()}.AdminDialer("r1")
			dial.GetClientCertificate = show
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: dial, DisableKeepAlives: true}}
			for path, want := range map[string]int{"/healthz": 200, "/readyz": 503} {
				resp, err := client.Get(url + path)
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, resp.StatusCode, want)
			}
			req, err := http.NewRequest(http.MethodPost, url+"/v1/drain", nil)
			assert.NilError(t, err)
			if c.token != "" {
				req.Header.Set("Authorization", "Bearer "+c.token)
			}
			resp, err := client.Do(req)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, c.want)
			assert.Equal(t, f.drained, c.want == 202)
			assert.Equal(t, strings.Contains(log.String(), "event=110"), c.want == 202)
			assert.Assert(t, strings.Contains(log.String(), c.logged), "%s", log.String())
		})
	}
}

func TestNoTokenSetIsNoTokenAccepted(t *testing.T) {
	code, _ := call(Handler(&fakeRouter{}, Auth{}), "GET", "/v1/status", "Bearer ", "")
	assert.Equal(t, code, 401)
}
