package router

import (
	"testing"

	"github.com/windscale/windscale/internal/golden"
	"github.com/windscale/windscale/internal/wire"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "settings-request.cbor", wire.Marshal, unmarshal, settingsRequest{Have: 2})
	golden.Check(t, "settings-answer.cbor", wire.Marshal, unmarshal, settingsAnswer{Version: 4, Digest: []byte{6, 2, 3}, Source: []byte{7, 2, 3}})
}

func unmarshal(b []byte, v any) error { return wire.Unmarshal(b, len(b), v) }
