package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
)

const model = "m"

func testOptions() Options {
	return Options{
		ID: "e1", Models: []string{model}, Slots: 2, Rate: 100, CacheBlocks: 100,
		ReportLag: time.Second, ResumeWindow: time.Second,
	}
}

// withEngine runs an engine in a bubble of fake time.
func withEngine(t *testing.T, opts Options, test func(t *testing.T, e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		e := New(opts)
		ctx, cancel := context.WithCancel(t.Context())
		go e.Run(ctx)
		test(t, e)
		time.Sleep(time.Minute) // the resume windows pass
		cancel()
		synctest.Wait()
	})
}

// call makes one request and returns its answer, and whether its connection
// broke.
func call(ctx context.Context, h http.Handler, method, path, id, body string) (w *httptest.ResponseRecorder, broke bool) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
	r.Header.Set(backend.HeaderRequest, id)
	r.Header.Set(backend.HeaderAttempt, "1")
	defer func() { broke = recover() != nil }()
	h.ServeHTTP(w, r)
	return w, false
}

func chatBody(prompt string, maxTokens int, stream bool) string {
	body, _ := json.Marshal(Request{
		Model: model, Messages: []answer.Message{{Role: "user", Content: prompt}}, MaxTokens: maxTokens, Stream: stream,
	})
	return string(body)
}

func wanted(prompt string, maxTokens int) answer.Completion {
	return answer.Complete(answer.Prompt([]answer.Message{{Role: "user", Content: prompt}}), maxTokens)
}

// content joins the text of a stream, and says whether it is done.
func content(t *testing.T, stream string) (text string, done bool) {
	t.Helper()
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk Answer
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		text += chunk.Choices[0].Delta.Content
	}
	return text, false
}

func fault(t *testing.T, e *Engine, f Fault) {
	t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(t, err)
	w, _ := call(t.Context(), e, http.MethodPost, "/_fault", "", string(body))
	assert.Equal(t, w.Code, http.StatusNoContent)
}

func record(e *Engine) []backend.Run { return e.batch.record.Log("").Runs }

func TestStreamAndWhole(t *testing.T) {
	withEngine(t, testOptions(), func(t *testing.T, e *Engine) {
		want := wanted("hello there", 20)
		began := time.Now()
		w, _ := call(t.Context(), e, http.MethodPost, chatPath, "a", chatBody("hello there", 20, true))
		text, done := content(t, w.Body.String())
		assert.Equal(t, text, want.Text(0, want.Len()))
		assert.Assert(t, done)
		assert.Equal(t, w.Header().Get(backend.HeaderRequest), "a")
		assert.Equal(t, time.Since(began), time.Duration(want.Len()-1)*10*time.Millisecond) // fake time
		w, _ = call(t.Context(), e, http.MethodPost, chatPath, "b", chatBody("hello there", 20, false))
		var whole Answer
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &whole))
		assert.Equal(t, whole.Choices[0].Message.Content, text)
		assert.Equal(t, whole.Usage.CompletionTokens, want.Len())
	})
}

// TestResume cuts a stream and takes the rest from exactly where it broke, as
// one execution.
func TestResume(t *testing.T) {
	withEngine(t, testOptions(), func(t *testing.T, e *Engine) {
		want := wanted("hello", 40)
		fault(t, e, Fault{Mode: CutAfter, After: 5, Count: 1})
		w, broke := call(t.Context(), e, http.MethodPost, chatPath, "a", chatBody("hello", 40, true))
		assert.Assert(t, broke)
		head, done := content(t, w.Body.String())
		assert.Equal(t, head, want.Text(0, 5))
		assert.Assert(t, !done)
		time.Sleep(500 * time.Millisecond) // within the window
		w, _ = call(t.Context(), e, http.MethodGet, "/v1/streams/a/1?from=5", "", "")
		tail, done := content(t, w.Body.String())
		assert.Equal(t, head+tail, want.Text(0, want.Len()))
		assert.Assert(t, done)
		assert.DeepEqual(t, record(e), []backend.Run{
			{ID: "a", Attempt: "1", Path: chatPath, Ended: true, Tokens: want.Len()},
		})
		time.Sleep(2 * time.Second) // the window passes
		w, _ = call(t.Context(), e, http.MethodGet, "/v1/streams/a/1?from=0", "", "")
		assert.Equal(t, w.Code, http.StatusNotFound)
	})
}

// TestGoneAndCancel checks that a caller that stays away longer than the
// resume window, and a DELETE, free the slot.
func TestGoneAndCancel(t *testing.T) {
	withEngine(t, testOptions(), func(t *testing.T, e *Engine) {
		ctx, cancel := context.WithCancel(t.Context())
		for _, id := range []string{"a", "b"} {
			go call(ctx, e, http.MethodPost, chatPath, id, chatBody(id, 10_000, true))
		}
		synctest.Wait()
		w, _ := call(t.Context(), e, http.MethodDelete, "/v1/streams/b/1", "", "")
		assert.Equal(t, w.Code, http.StatusNoContent)
		cancel()
		time.Sleep(900 * time.Millisecond)
		assert.Assert(t, !e.Idle())
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, e.Idle())
		for _, run := range record(e) {
			assert.Assert(t, run.Cancelled && !run.Ended)
		}
	})
}

// TestLoadLags checks that the report shows what was a lag ago.
func TestLoadLags(t *testing.T) {
	withEngine(t, testOptions(), func(t *testing.T, e *Engine) {
		for _, id := range []string{"a", "b", "c"} {
			go call(t.Context(), e, http.MethodPost, chatPath, id, chatBody(id, 1000, true))
		}
		load := func() (out backend.Load) {
			w, _ := call(t.Context(), e, http.MethodGet, "/v1/load", "", "")
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &out))
			return out
		}
		time.Sleep(900 * time.Millisecond)
		assert.Equal(t, load().Running+load().Queued, 0)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, load().Running, 2)
		assert.Equal(t, load().Queued, 1)
	})
}

func TestRefusalsDoNotRun(t *testing.T) {
	withEngine(t, testOptions(), func(t *testing.T, e *Engine) {
		for mode, status := range map[Mode]int{
			Refuse: http.StatusServiceUnavailable, Busy: http.StatusTooManyRequests, Leaving: http.StatusServiceUnavailable,
		} {
			fault(t, e, Fault{Mode: mode})
			w, _ := call(t.Context(), e, http.MethodPost, chatPath, "a", chatBody("x", 5, true))
			assert.Equal(t, w.Code, status)
			assert.Equal(t, w.Header().Get(backend.HeaderLeaving) == "true", mode == Leaving)
		}
		fault(t, e, Fault{Mode: Die})
		_, broke := call(t.Context(), e, http.MethodGet, "/v1/load", "", "")
		assert.Assert(t, broke)
		assert.Equal(t, len(record(e)), 0)
	})
}

// TestPrefixCache checks that a prompt whose start is known prefills faster.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(5)
	prompt := strings.Repeat("w ", 4*blockTokens)
	assert.Equal(t, c.admit(prompt), 0)
	assert.Equal(t, c.admit(prompt+"more"), 4*blockTokens)
	assert.Equal(t, c.admit("other "+prompt), 0) // drops all of the first but one block
	assert.Equal(t, c.admit(prompt), 0)
}

// TestBatchInvariants steps a batch at random: no free slot stays idle while
// jobs wait, no more run than there are slots, first come first served, and
// each job begins at most once and ends with all its tokens.
func TestBatchInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opts := testOptions()
		opts.Slots = rapid.IntRange(1, 4).Draw(rt, "slots")
		b := newBatch(opts)
		now := time.Unix(0, 0)
		var jobs []*job
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				id := strconv.Itoa(len(jobs))
				j := &job{key: jobKey{id: id}, answer: answer.Complete(id, rapid.IntRange(1, 9).Draw(rt, "max"))}
				assert.Assert(rt, b.submit(j, newReader()))
				assert.Assert(rt, !b.submit(j, newReader()))
				jobs = append(jobs, j)
			},
			"cancel": func(rt *rapid.T) {
				if len(jobs) > 0 {
					b.cancel(rapid.SampledFrom(jobs).Draw(rt, "job").key)
				}
			},
			"step": func(rt *rapid.T) {
				now = now.Add(b.step(now))
				b.mu.Lock()
				defer b.mu.Unlock()
				b.fill(now)
				assert.Assert(rt, len(b.running) == opts.Slots || len(b.queue) == 0)
			},
			"": func(rt *rapid.T) {
				assert.Assert(rt, len(b.running) <= opts.Slots)
				seen := map[string]bool{}
				for _, run := range b.record.Log("").Runs {
					assert.Assert(rt, !seen[run.ID])
					seen[run.ID] = true
				}
				for i, j := range jobs {
					assert.Equal(rt, j.ended, j.emitted == j.answer.Len())
					assert.Equal(rt, seen[j.key.id], j.started)
					if i > 0 && j.started {
						assert.Assert(rt, jobs[i-1].started || jobs[i-1].stopped)
					}
				}
			},
		})
	})
}
