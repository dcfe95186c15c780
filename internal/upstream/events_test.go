package upstream_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/upstream"
)

// Events that arrive byte by byte are reassembled.
func TestEventsSplitAcrossReads(t *testing.T) {
	e := upstream.NewEventReader(iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\n\n")))
	ev, err := e.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(ev.Raw), "id: 1\ndata: a\n\n")
	ev, err = e.Next()
	assert.NilError(t, err)
	assert.Equal(t, ev.ID, "2")
	_, err = e.Next()
	assert.Equal(t, err, io.EOF)
}
