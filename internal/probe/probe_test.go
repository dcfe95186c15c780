package probe

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
)

type answer struct {
	id  msg.ServerID
	r   Report
	err error
}

func newProber() (*Prober, chan answer) {
	out := make(chan answer, 9)
	return New(func(id msg.ServerID, r Report, err error) { out <- answer{id, r, err} }), out
}

func addr(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// A server that is slow to answer has one question at a time; others are not
// held up by it.
func TestOneQuestionAtATime(t *testing.T) {
	asked, let := make(chan struct{}, 9), make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-let
		_, _ = w.Write([]byte(`{"slots":8,"models":["a"],"service":"b"}`))
	}))
	defer slow.Close()
	p, out := newProber()
	for range 5 {
		p.Ask(t.Context(), "s1", addr(slow))
	}
	p.Ask(t.Context(), "s2", addr(slow))
	<-asked
	<-asked
	close(let)
	p.wg.Wait()
	assert.Equal(t, len(asked), 0)
	a := <-out
	assert.NilError(t, a.err)
	assert.DeepEqual(t, a.r.Pools(), []msg.PoolID{"m/a", "s/b"})
	p.Ask(t.Context(), "s1", addr(slow))
	p.wg.Wait()
	assert.Equal(t, len(asked), 1)
}

// What is no load report is an error, and no server sends the question on to
// another address.
func TestWhatIsNoReport(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.Error("redirected") }))
	defer other.Close()
	mode := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch mode {
		case "status":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "text":
			_, _ = w.Write([]byte("slots: 8"))
		case "long":
			_, _ = w.Write([]byte(`{"slots":8,"service":"` + strings.Repeat("x", maxReport) + `"}`))
		case "blank in a field name":
			c, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Crate Number: 7\r\nContent-Length: 11\r\n\r\n"+`{"slots":8}`)
			_ = c.Close()
		case "redirect":
			http.Redirect(w, r, other.URL, http.StatusFound)
		}
	}))
	defer s.Close()
	p, out := newProber()
	for _, mode = range []string{"status", "text", "long", "blank in a field name", "redirect"} {
		p.Ask(t.Context(), "s1", addr(s))
		p.wg.Wait()
		a := <-out
		assert.Assert(t, a.err != nil, mode)
		_, isStatus := errors.AsType[*StatusError](a.err)
		assert.Equal(t, isStatus, mode == "status" || mode == "redirect")
	}
	p.Ask(t.Context(), "s1", "127.0.0.1:1")
	p.wg.Wait()
	assert.Assert(t, (<-out).err != nil)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	p.Ask(ctx, "s1", addr(s))
	p.wg.Wait()
	assert.Equal(t, len(out), 0) // no report after the end
}
