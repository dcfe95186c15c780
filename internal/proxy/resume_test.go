package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// lines are the events of one answer: three tokens, the finish, the end.
var lines = []string{
	"id: 0\ndata: {\"choices\":[{\"finish_reason\":null}]}\n\n",
	"id: 1\ndata: {\"choices\":[{\"finish_reason\":null}]}\n\n",
	"id: 2\ndata: {\"choices\":[{\"finish_reason\":null}]}\n\n",
	"id: 3\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":3}}\n\n",
	"data: [DONE]\n\n",
}

// cutting is an engine whose first answer is cut after some bytes of an event,
// and whose resumption may be wrong.
type cutting struct {
	events  int // whole ones that are sent first
	bytes   int // of the next
	resumes atomic.Int64
	resume  func(w http.ResponseWriter, from int)
}

func (c *cutting) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Windscale-Request", r.Header.Get("Windscale-Request"))
	w.Header().Set("Windscale-Attempt", r.Header.Get("Windscale-Attempt"))
	w.Header().Set("Content-Type", "text/event-stream")
	switch r.Method {
	case http.MethodPost:
		_, _ = io.WriteString(w, strings.Join(lines[:c.events], "")+lines[c.events][:c.bytes])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case http.MethodGet:
		c.resumes.Add(1)
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		c.resume(w, from)
	}
}

// rest sends what a resumption from a position should bring.
func rest(w http.ResponseWriter, from int) {
	_, _ = io.WriteString(w, strings.Join(lines[min(from, len(lines)-1):], ""))
}

// Wherever a stream is cut, and whatever a resumption brings, the caller has
// each event once and in order, or a broken connection.
func TestStreamCutAnywhere(t *testing.T) {
	whole := strings.Join(lines, "")
	resumptions := map[string]func(http.ResponseWriter, int){
		"right":      rest,
		"all anew":   func(w http.ResponseWriter, _ int) { rest(w, 0) },
		"gap":        func(w http.ResponseWriter, from int) { rest(w, from+1) },
		"absent":     func(w http.ResponseWriter, _ int) { w.WriteHeader(http.StatusNotFound) },
		"foreign":    func(w http.ResponseWriter, from int) { w.Header().Set("Windscale-Request", "x"); rest(w, from) },
		"other kind": func(w http.ResponseWriter, from int) { w.Header().Set("Content-Type", "text/plain"); rest(w, from) },
		"not done":   func(w http.ResponseWriter, from int) { _, _ = io.WriteString(w, strings.Join(lines[from:4], "")) },
	}
	for name, resume := range resumptions {
		for events := range lines {
			for _, bytes := range []int{0, 1, len(lines[events]) - 1} {
				t.Run(fmt.Sprint(name, events, bytes), func(t *testing.T) {
					engine := &cutting{events: events, bytes: bytes, resume: resume}
					rig := newRig(t, engine)
					got := send(t, "POST", rig.URL+"/v1/chat/completions", chat("x", 3, true), nil)
					rig.Close()
					rig.picker.results(t)
					if events == 0 { // nothing had come: begun anew, not resumed
						assert.Equal(t, engine.resumes.Load(), int64(0))
						assert.Equal(t, got.problem(), "answer-cut")
						return
					}
					assert.Equal(t, got.status, 200)
					assert.Assert(t, strings.HasPrefix(whole, got.body), "%q", got.body)
					assert.Equal(t, got.err == nil, got.body == whole)
					switch name {
					case "right", "all anew":
						assert.NilError(t, got.err)
					case "absent", "foreign", "other kind", "not done":
						assert.Assert(t, got.err != nil)
					}
				})
			}
		}
	}
}
