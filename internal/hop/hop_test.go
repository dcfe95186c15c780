package hop

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEndToEndDropsConnectionHeaders(t *testing.T) {
	h := http.Header{
		"Connection": {"close, x-mine", " X-Other "},
		"X-Mine":     {"1"},
		"X-Other":    {"2"},
		"Keep-Alive": {"timeout=5"},
		"Host":       {"h"},
		"X-Kept":     {"3", "4"},
	}
	kept := EndToEnd(h, "Host")
	assert.DeepEqual(t, kept, http.Header{"X-Kept": {"3", "4"}})
	kept.Add("X-Kept", "5")
	assert.Equal(t, len(h["X-Kept"]), 2)
}
