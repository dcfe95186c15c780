package settingsstore

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "record.json", json.Marshal, json.Unmarshal, Record{
		Version:    2,
		Digest:     Digest{5, 6, 7, 8, 9, 10, 11, 12},
		EditID:     "s12",
		Object:     "s13",
		Editor:     "s14",
		Note:       "s15",
		RollbackOf: 16,
		Time:       time.Unix(1700000017, 0).UTC(),
	})
}
