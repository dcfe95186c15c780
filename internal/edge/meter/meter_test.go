package meter

import (
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scrape uses each metric once and returns the metrics as text.
func scrape(t *testing.T, m *Meter) string {
	t.Helper()
	m.Answered("s", 200, time.Second)
	m.FirstResponse("s", time.Second)
	m.Refused("c", "busy")
	m.Sent("s", true, true)
	m.AttemptFailed("s", "dial")
	m.HealthChange("s", "suspected")
	m.StoreFailed("servers", "unknown")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, w.Code, 200)
	return w.Body.String()
}

// Guards against metrics that docs/METRICS.md does not list.
func TestEveryMetricIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../../../docs/METRICS.md")
	assert.NilError(t, err)
	shown := scrape(t, New())
	for _, match := range regexp.MustCompile(`# TYPE (\S+) `).FindAllStringSubmatch(shown, -1) {
		assert.Check(t, strings.Contains(string(text), "| "+match[1]+" |"), "%s is not in docs/METRICS.md", match[1])
	}
}

// Guards against unbounded customer labels: those over the limit must share one.
func TestCustomerLabelsAreBounded(t *testing.T) {
	m := New()
	for i := range maxCustomerLabels + 500 {
		m.Refused(fmt.Sprintf("customer-%d", i), "busy")
	}
	shown := scrape(t, m)
	assert.Equal(t, strings.Count(shown, "windscale_edge_refusals_total{"), maxCustomerLabels+1+1-1)
	assert.Assert(t, strings.Contains(shown, `customer="other"`))
}
