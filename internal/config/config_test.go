package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
)

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadReportsEveryFaultAtOnce(t *testing.T) {
	dir := t.TempDir()
	short := write(t, dir, "token", "short")
	path := write(t, dir, "r.ini", `
[router]
id = r1
entry = localhost:80
link = 127.0.0.1:1
link = 127.0.0.1:2
admin = 127.0.0.1:2
admin_token_file = `+short+`
sharing = both
admin_tls = yes
colour = red
[platform]
url = ftp://x
[seeds]
routers = r2@127.0.0.1:1, r3
[log]
level = loud
`)
	_, err := Load(path)
	type at struct {
		key  string
		kind FaultKind
	}
	got := map[at]bool{}
	for _, f := range faultsOf(err) {
		got[at{f.Section + "." + f.Key, f.Kind}] = true
	}
	want := []at{
		{"router.data_centre", Missing},
		{"router.entry", NotIPPort},
		{"router.link", Twice},
		{"router.admin_token_file", TooShort},
		{"router.sharing", NotAChoice},
		{"router.admin_tls", NotAChoice},
		{"router.colour", UnknownKey},
		{"platform.url", NotURL},
		{"tls.ca", Missing},
		{"tls.cert", Missing},
		{"tls.key", Missing},
		{"seeds.routers", NotASeed},
		{"log.level", NotAChoice},
	}
	for _, w := range want {
		assert.Assert(t, got[w], "no fault %v in\n%v", w, err)
	}
	assert.Equal(t, len(got), len(want), "%v", err)
}

// good writes a file without faults, which names certificates of r1 in dir.
func good(t *testing.T, dir, more string) string {
	a, err := fleetcert.NewAuthority(time.Now())
	assert.NilError(t, err)
	for _, id := range []msg.RouterID{"r1", "r2"} {
		pair, err := a.Router(id, nil, time.Now())
		assert.NilError(t, err)
		write(t, dir, string(id)+".pem", string(pair.Cert))
		write(t, dir, string(id)+"-key.pem", string(pair.Key))
	}
	write(t, dir, "ca.pem", string(a.Pair().Cert))
	write(t, dir, "token", "0123456789abcdef\n")
	text := `
[router]
id = r1
data_centre = dc1
entry = 127.0.0.1:80
link = 127.0.0.1:1
admin = 127.0.0.1:2
admin_token_file = DIR/token
admin_tls = true
[platform]
url = http://127.0.0.1:9/
[seeds]
routers = r2@127.0.0.1:1
[tls]
` + more
	return write(t, dir, "r.ini", strings.ReplaceAll(text, "DIR", dir))
}

const goodTLS = "ca = DIR/ca.pem\ncert = DIR/r1.pem\nkey = DIR/r1-key.pem\n"

func TestCertificatesOfAnotherUse(t *testing.T) {
	for lines, want := range map[string]string{
		goodTLS: "",
		"ca = DIR/token\ncert = DIR/r1.pem\nkey = DIR/r1-key.pem\n":  "ca",
		"ca = DIR/ca.pem\ncert = DIR/r1.pem\nkey = DIR/r2-key.pem\n": "cert",
		"ca = DIR/ca.pem\ncert = DIR/r2.pem\nkey = DIR/r2-key.pem\n": "cert",
		goodTLS + "entry_cert = DIR/r1.pem\n":                        "entry_key",
		goodTLS + "entry_key = DIR/r1.pem\n":                         "entry_cert",
		goodTLS + "entry_cert = DIR/r1.pem\nentry_key = DIR/token\n": "entry_cert",
	} {
		_, err := Load(good(t, t.TempDir(), lines))
		faults := faultsOf(err)
		if want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, len(faults), 1, "%s: %v", lines, err)
		assert.Equal(t, faults[0].Section+"."+faults[0].Key, "tls."+want)
	}
}

func TestLoadGoodFile(t *testing.T) {
	path := good(t, t.TempDir(), goodTLS)
	r, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, r.AdminToken, "0123456789abcdef")
	assert.Equal(t, r.PlatformURL, "http://127.0.0.1:9")
	assert.Equal(t, r.Sharing, SharingFleet)
	assert.Assert(t, r.AdminTLS)
	assert.DeepEqual(t, r.Seeds, []Seed{{ID: "r2", Addr: "127.0.0.1:1"}})
}

// faultsOf returns the faults of a Load error.
func faultsOf(err error) []Fault {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Faults
	}
	return nil
}
