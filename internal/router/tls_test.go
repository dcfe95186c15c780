package router

import (
	"bytes"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/oklog/run"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/adminclient"
	"github.com/windscale/windscale/internal/config"
)

// lines is a log that goroutines may write while a test reads.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) has(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(s))
}

// The admin listener and the callers' take a new certificate without a
// restart, and an operator drains with a certificate.
func TestCertificatesOfTheListeners(t *testing.T) {
	f := newFleet(t)
	issue := func() {
		pair, err := f.authority.Router("r1", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
		assert.NilError(t, err)
		f.write("r1.pem", pair.Cert)
		f.write("r1-key.pem", pair.Key)
	}
	issue()
	cert, key := filepath.Join(f.dir, "r1.pem"), filepath.Join(f.dir, "r1-key.pem")
	var log lines
	r, err := New(&config.Router{
		ID: "r1", DataCentre: "dc1", Entry: addrAny, Link: addrAny, Admin: addrAny, AdminToken: token, AdminTLS: true,
		Sharing: config.SharingFleet, PlatformURL: f.platform.URL, CA: filepath.Join(f.dir, "ca.pem"),
		Cert: cert, Key: key, EntryCert: cert, EntryKey: key,
	}, slog.New(slog.NewTextHandler(&log, nil)))
	assert.NilError(t, err)
	var g run.Group
	assert.NilError(t, r.Actors(&g))
	done := make(chan error, 1)
	go func() { done <- g.Run() }()

	shown := func(addr net.Addr) string {
		conn, err := tls.Dial("tcp", addr.String(), &tls.Config{RootCAs: f.authority.Pool()})
		assert.NilError(t, err)
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	before := shown(r.entryLn.Addr())
	assert.Equal(t, shown(r.adminLn.Addr()), before)
	issue()
	until(t, "new certificates in force", func() bool {
		entry, admin := shown(r.entryLn.Addr()), shown(r.adminLn.Addr())
		return entry != before && entry == admin
	})

	ana, err := f.authority.Operator("ana", time.Now())
	assert.NilError(t, err)
	client, err := adminclient.New(adminclient.Options{
		CA:   filepath.Join(f.dir, "ca.pem"),
		Cert: f.write("ana.pem", ana.Cert), Key: f.write("ana-key.pem", ana.Key),
	})
	assert.NilError(t, err)
	resp, err := client.HTTP("r1").Post("https://"+r.adminLn.Addr().String()+"/v1/drain", "", nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	assert.NilError(t, <-done)
	assert.Assert(t, log.has("event=110 operator=ana by=certificate"))
}
