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

// page returns the metrics as text, with each metric used once.
func page(t *testing.T, m *Meter) string {
	t.Helper()
	m.Answered("s", 200, time.Second)
	m.First("s", time.Second)
	m.Refused("c", "busy")
	m.Sent("s", true, true)
	m.Failed("s", "dial")
	m.Believed("s", "suspected")
	m.StoreFailed("servers", "unknown")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, w.Code, 200)
	return w.Body.String()
}

// docs/METRICS.md and the page name the same metrics.
func TestEveryMetricIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../../../docs/METRICS.md")
	assert.NilError(t, err)
	shown := page(t, New())
	for _, match := range regexp.MustCompile(`# TYPE (\S+) `).FindAllStringSubmatch(shown, -1) {
		assert.Check(t, strings.Contains(string(text), "| "+match[1]+" |"), "%s is not in docs/METRICS.md", match[1])
	}
}

// A thousand customers have a label each; all further ones share one.
func TestCustomersAreBounded(t *testing.T) {
	m := New()
	for i := range maxCustomers + 500 {
		m.Refused(fmt.Sprintf("customer-%d", i), "busy")
	}
	shown := page(t, m)
	assert.Equal(t, strings.Count(shown, "windscale_edge_refusals_total{"), maxCustomers+1+1-1)
	assert.Assert(t, strings.Contains(shown, `customer="other"`))
}
