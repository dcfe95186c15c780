// Package operating runs the commands of the operators' pages.
package operating

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/test/loopback"
)

const (
	page    = "../../docs/CERTIFICATES.md"
	pageURL = "http://127.0.0.1:9000" // of the platform, on the page
	issue   = 2                       // blocks before the routers run
	soon    = 60 * time.Second        // generous: nothing waits so long unless it fails
)

var shell = regexp.MustCompile("(?s)```sh\n(.*?)```")

// host is a directory with the programs, and two routers that run in it.
type host struct {
	t       *testing.T
	dir     string
	url     string // of the platform
	exports string // what the page has exported
}

func newHost(t *testing.T) *host {
	h := &host{t: t, dir: t.TempDir(), url: "http://" + reserveAddr(t)}
	out, err := exec.Command("go", "build", "-o", h.path("bin")+"/", "../../cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	h.write("token", "0123456789abcdef")
	return h
}

func (h *host) path(name string) string { return filepath.Join(h.dir, name) }

func (h *host) write(name, text string) {
	assert.NilError(h.t, os.WriteFile(h.path(name), []byte(text), 0o600))
}

func reserveAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopback.ReserveAddr()
	assert.NilError(t, err)
	return addr
}

// start runs a program until the test ends; its log is NAME.log.
func (h *host) start(name string, args ...string) {
	log, err := os.Create(h.path(name + ".log"))
	assert.NilError(h.t, err)
	cmd := exec.Command(h.path("bin/"+args[0]), args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.dir, log, log
	assert.NilError(h.t, cmd.Start())
	h.t.Cleanup(func() {
		assert.Check(h.t, cmd.Process.Signal(syscall.SIGTERM))
		_ = cmd.Wait()
	})
}

// sh runs a block of the page, which must succeed.
func (h *host) sh(block string) {
	block = strings.ReplaceAll(block, pageURL, h.url)
	ctx, cancel := context.WithTimeout(h.t.Context(), soon)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-e", "-c", h.exports+block)
	cmd.Dir = h.dir
	cmd.Env = append(os.Environ(), "PATH="+h.path("bin")+":"+os.Getenv("PATH"))
	out, err := cmd.CombinedOutput()
	assert.NilError(h.t, err, "%s\n%s", block, out)
	for line := range strings.Lines(block) {
		if strings.HasPrefix(line, "export ") {
			h.exports += line
		}
	}
	if strings.Contains(block, "windscalectl status") {
		assert.Equal(h.t, strings.Count(string(out), "dc1"), 2, "both routers answer:\n%s", out)
	}
}

const ini = `[router]
id = %[1]s
data_centre = dc1
entry = %[2]s
link = %[3]s
admin = %[4]s
admin_token_file = token
admin_tls = true
[platform]
url = %[5]s
[tls]
ca = %[1]s/ca.pem
cert = %[1]s/%[1]s.pem
key = %[1]s/%[1]s-key.pem
[log]
format = text
`

// configure writes a router's file and returns its row of the host list.
func (h *host) configure(id string) string {
	link, admin := reserveAddr(h.t), reserveAddr(h.t)
	h.write(id+".ini", fmt.Sprintf(ini, id, reserveAddr(h.t), link, admin, h.url))
	return fmt.Sprintf(`{"id":%q,"role":"router","addr":%q,"admin":%q,"dataCentre":"dc1","state":"live"}`, id, link, admin)
}

func (h *host) putHosts(rows ...string) {
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		req, err := http.NewRequest(http.MethodPut, h.url+"/_hosts", strings.NewReader("["+strings.Join(rows, ",")+"]"))
		assert.NilError(h.t, err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return poll.Continue("the platform: %v", err)
		}
		assert.NilError(h.t, resp.Body.Close())
		return poll.Success()
	}, poll.WithTimeout(soon))
}

// logged counts an event in a router's log.
func (h *host) logged(id, event string) int {
	text, err := os.ReadFile(h.path(id + ".log"))
	assert.NilError(h.t, err)
	return bytes.Count(text, []byte("event="+event+" "))
}

func (h *host) waitLogged(id, event string, n int) {
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if h.logged(id, event) >= n {
			return poll.Success()
		}
		return poll.Continue("event %s of %s", event, id)
	}, poll.WithTimeout(soon))
}

// digest is of a router's certificates.
func (h *host) digest(id string) (d [sha256.Size]byte) {
	var all []byte
	for _, name := range []string{"ca", id, id + "-key"} {
		text, err := os.ReadFile(h.path(id + "/" + name + ".pem"))
		assert.NilError(h.t, err)
		all = append(all, text...)
	}
	return sha256.Sum256(all)
}

// Each block of the page is run in turn; a block that changes a router's files
// is followed by event 112, as the page says.
func TestCertificatesPage(t *testing.T) {
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	blocks := shell.FindAllStringSubmatch(string(text), -1)
	h := newHost(t)
	routers := []string{"r1", "r2"}
	rows := []string{h.configure("r1"), h.configure("r2")}
	for _, b := range blocks[:issue] {
		h.sh(b[1])
	}
	h.start("platform", "windscale-standin", "platform", "--list-lag", "0s", "--listen", strings.TrimPrefix(h.url, "http://"))
	h.putHosts(rows...)
	for _, id := range routers {
		h.start(id, "windscale-router", "--config", id+".ini")
		h.waitLogged(id, "101", 1)
	}
	for _, b := range blocks[issue:] {
		before := map[string][sha256.Size]byte{}
		replaced := map[string]int{}
		for _, id := range routers {
			before[id], replaced[id] = h.digest(id), h.logged(id, "112")
		}
		h.sh(b[1])
		for _, id := range routers {
			if h.digest(id) != before[id] {
				h.waitLogged(id, "112", replaced[id]+1)
			}
		}
	}
	h.sh("windscalectl status\n")
}
