package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Copies of a request have the same content hash, and a request that differs in any part has
// another.
func TestContentHashDependsOnEveryPartOfARequest(t *testing.T) {
	base := HashContent("ana", "POST", "host", "/s/x", []byte("body"))
	assert.Equal(t, HashContent("ana", "POST", "host", "/s/x", []byte("body")), base)
	for _, other := range []ContentHash{
		HashContent("bea", "POST", "host", "/s/x", []byte("body")),
		HashContent("ana", "GET", "host", "/s/x", []byte("body")),
		HashContent("ana", "POST", "host2", "/s/x", []byte("body")),
		HashContent("ana", "POST", "host", "/s/x?y", []byte("body")),
		HashContent("ana", "POST", "host", "/s/x", []byte("body2")),
		HashContent("anaP", "OST", "host", "/s/x", []byte("body")),
		HashContent("", "", "", "", nil),
	} {
		assert.Assert(t, other != base)
	}
}
