package config

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
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
	for _, f := range FaultsOf(err) {
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

func TestLoadGoodFile(t *testing.T) {
	dir := t.TempDir()
	token := write(t, dir, "token", "0123456789abcdef\n")
	path := write(t, dir, "r.ini", `
[router]
id = r1
data_centre = dc1
entry = 127.0.0.1:80
link = 127.0.0.1:1
admin = 127.0.0.1:2
admin_token_file = `+token+`
admin_tls = true
[platform]
url = http://127.0.0.1:9/
[tls]
ca = `+token+`
cert = `+token+`
key = `+token+`
[seeds]
routers = r2@127.0.0.1:1
`)
	r, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, r.AdminToken, "0123456789abcdef")
	assert.Equal(t, r.PlatformURL, "http://127.0.0.1:9")
	assert.Equal(t, r.Sharing, SharingFleet)
	assert.Assert(t, r.AdminTLS)
	assert.DeepEqual(t, r.Seeds, []Seed{{ID: "r2", Addr: "127.0.0.1:1"}})
}
