package member

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "message.cbor", cbor.Marshal, cbor.Unmarshal, Message{
		Type:            1,
		Seq:             3,
		Incarnation:     4,
		Target:          "s5",
		SettingsVersion: 6,
		Digest:          7,
		Updates: []Update{Update{
			ID:          "s10",
			Incarnation: 11,
			Refutation:  12,
			DataCentre:  "s13",
			State:       1,
		}},
	})
	golden.Check(t, "full.cbor", cbor.Marshal, cbor.Unmarshal, SyncMessage{Updates: []Update{Update{
		ID:          "s18",
		Incarnation: 19,
		Refutation:  20,
		DataCentre:  "s21",
		State:       1,
	}}})
}
