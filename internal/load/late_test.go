package load

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// roundTripper answers in place of a server.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A late answer is reported under a reason of its own.
func TestLateAnswerHasItsReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		section := &Section{Timeout: time.Second}
		r := &request{method: http.MethodGet, target: "http://router", path: "/", want: []byte("{}")}
		tally := newTally(time.Now(), time.Now().Add(time.Minute))
		c := client{section: section, report: tally.noteProgress, http: &http.Client{Transport: roundTripper(
			func(*http.Request) (*http.Response, error) {
				time.Sleep(section.Timeout + lateGrace/2)
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(r.want))}, nil
			})}}
		tally.noteResult(r, time.Now(), c.send(t.Context(), r), false)
		report, _ := tally.report(section, 1)
		assert.Equal(t, report.Late, 1)
		assert.DeepEqual(t, report.Reasons, map[string]int{"late": 1})
	})
}
