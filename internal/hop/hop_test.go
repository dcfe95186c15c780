package hop

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOnlyTheMessagesHeadersAreCopied(t *testing.T) {
	h := http.Header{
		"Connection": {"close, x-mine", " X-Other "},
		"X-Mine":     {"1"},
		"X-Other":    {"2"},
		"Keep-Alive": {"timeout=5"},
		"Host":       {"h"},
		"X-Kept":     {"3", "4"},
	}
	clean := EndToEnd(h, "Host")
	assert.DeepEqual(t, clean, http.Header{"X-Kept": {"3", "4"}})
	clean.Add("X-Kept", "5")
	assert.Equal(t, len(h["X-Kept"]), 2)
}
