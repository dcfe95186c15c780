package router

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/settingsstore"
)

// blocking is a service of one slot that holds its call.
type blocking struct{ release chan struct{} }

func (b blocking) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		_, _ = io.WriteString(w, `{"service":"dispatch","slots":1}`)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/held") {
		<-b.release
	}
}

// A version that is in force holds in the parts that keep a copy, too: the
// entry's limits and those of the queue.
func TestSettingsAreInForceInEveryPart(t *testing.T) {
	f := newFleet(t)
	f.accept(0, "10s")
	b := blocking{make(chan struct{})}
	f.addServer("d1", b)
	r1 := f.start("r1", "")
	release := sync.OnceFunc(func() { close(b.release) })
	t.Cleanup(release) // before the router's drain, which waits for the calls
	r1.untilReady(t, 1)
	code := func(path string, header map[string]string) int {
		got, _ := r1.call(t, "GET", "/services/dispatch"+path, "", header)
		return got
	}
	until(t, "served", func() bool { return code("/jobs/1", nil) == 200 })
	long := map[string]string{"X-Long": strings.Repeat("x", 16<<10)}
	assert.Equal(t, code("/jobs/1", long), 200)

	text := fmt.Sprintf(settingsText, "10s\nmax_header = 2KiB\nqueue_requests = 1", sha256.Sum256([]byte(key)), sha256.Sum256([]byte("strict")))
	client := httpplatform.New(f.platform.URL, &http.Client{})
	_, err := settingsstore.New(client, client).Accept(t.Context(), settingsstore.Edit{
		ID: settingsstore.NewEditID(), Base: 1, Source: []byte(text), Editor: "test",
	})
	assert.NilError(t, err)
	r1.untilReady(t, 2)
	http.DefaultClient.CloseIdleConnections() // new connections have the new limits
	assert.Equal(t, code("/jobs/1", long), http.StatusRequestHeaderFieldsTooLarge)

	until(t, "idle", func() bool { s := r1.Status(); return s.Running+s.Waiting == 0 })
	// One call runs. A plain service whose calls seemed to spend most of their time
	// under way, as on a busy machine, gets one more ahead. The next waits.
	const most = 3
	ends := make(chan int, most)
	sent := 0
	for waiting := 0; waiting == 0; {
		assert.Assert(t, sent < most, "slots and those granted ahead are full: %+v", r1.Status())
		sent++
		go func() { ends <- code("/held", nil) }()
		until(t, "running or waiting", func() bool {
			s := r1.Status()
			waiting = s.Waiting
			return s.Running+s.Waiting == sent
		})
	}
	assert.Equal(t, r1.Status().Waiting, 1)
	got, body := r1.call(t, "GET", "/services/dispatch/jobs/1", "", nil)
	assert.Equal(t, got, 503)
	assert.Assert(t, strings.Contains(body, "router-full"), body)
	release()
	for range sent {
		assert.Equal(t, <-ends, 200)
	}
}
