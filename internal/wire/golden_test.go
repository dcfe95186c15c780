package wire

import (
	"testing"

	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "envelope.cbor", Marshal, func(b []byte, v any) error { return Unmarshal(b, len(b), v) }, Envelope{Version: 3, Kind: 4, Body: []byte{5, 2, 3}})
}
