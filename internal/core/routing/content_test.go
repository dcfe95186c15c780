package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// What a request asks is the same for each copy and another as soon as one part differs.
func TestContentIsThatOfEachCopy(t *testing.T) {
	base := ContentOf("ana", "POST", "host", "/s/x", []byte("body"))
	assert.Equal(t, ContentOf("ana", "POST", "host", "/s/x", []byte("body")), base)
	for _, other := range []Content{
		ContentOf("bea", "POST", "host", "/s/x", []byte("body")),
		ContentOf("ana", "GET", "host", "/s/x", []byte("body")),
		ContentOf("ana", "POST", "host2", "/s/x", []byte("body")),
		ContentOf("ana", "POST", "host", "/s/x?y", []byte("body")),
		ContentOf("ana", "POST", "host", "/s/x", []byte("body2")),
		ContentOf("anaP", "OST", "host", "/s/x", []byte("body")),
		ContentOf("", "", "", "", nil),
	} {
		assert.Assert(t, other != base)
	}
}
