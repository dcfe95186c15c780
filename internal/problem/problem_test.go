package problem

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
)

// docs/PROBLEMS.md must list every problem type, in order, with its status and
// title, and no others.
func TestPageListsEveryType(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROBLEMS.md")
	assert.NilError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (\\d+) \\| [^|]+ \\| ([^|]+) \\|").FindAllStringSubmatch(string(page), -1)
	var listed, have []string
	for _, row := range rows {
		listed = append(listed, fmt.Sprint(row[1:]))
	}
	for _, typ := range All {
		have = append(have, fmt.Sprint([]string{typ.Name, fmt.Sprint(typ.Status), typ.Title}))
	}
	assert.DeepEqual(t, listed, have)
}

func TestWriteHeadersAndBody(t *testing.T) {
	for _, c := range []struct {
		outcome attempt.Outcome
		run     string
	}{
		{0, "unknown"},
		{attempt.NotSent, "no"},
		{attempt.Refused, "no"},
		{attempt.Completed, "unknown"},
		{attempt.Unknown, "unknown"},
	} {
		w := httptest.NewRecorder()
		w.Header().Set("Content-Length", "9")
		w.Header().Set("Etag", "of another answer")
		Write(w, Deadline, Info{Outcome: c.outcome, RetryAfter: 1100 * time.Millisecond, Request: "r"})
		assert.Equal(t, w.Code, 504)
		assert.Equal(t, w.Header().Get("Windscale-Run"), c.run)
		assert.Equal(t, w.Header().Get("Retry-After"), "2")
		assert.Equal(t, w.Header().Get("Etag"), "")
		assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
		assert.Equal(t, w.Header().Get("Content-Length"), fmt.Sprint(w.Body.Len()))
		var doc document
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &doc))
		assert.Equal(t, doc.Type, "urn:windscale:problem:deadline")
		assert.Equal(t, doc.Instance, "urn:windscale:request:r")
	}
}
