package claim

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "row.cbor", func(v any) ([]byte, error) { r := v.(Row); return Encode(&r) }, func(b []byte, v any) error {
		r, err := Decode(b)
		if err == nil {
			*v.(*Row) = *r
		}
		return err
	}, Row{
		State:        1,
		Digest:       Digest{5, 6, 7, 8, 9, 10, 11, 12},
		Holder:       "s12",
		Fence:        13,
		CallDeadline: 14,
		RetainUntil:  15,
		Answer:       &Answer{Status: 18, Header: map[string][]string{"s20": []string{"s22"}}, Body: []byte{24, 2, 3}},
	})
	golden.Check(t, "page.cbor", cbor.Marshal, cbor.Unmarshal, Page{Keys: []Key{"s26"}})
	golden.Check(t, "manifest.cbor", cbor.Marshal, cbor.Unmarshal, Manifest{Writers: []Writer{Writer{Router: "s30", Incarnation: 31}}})
	golden.Check(t, "cursor.cbor", cbor.Marshal, cbor.Unmarshal, Cursor{Hour: 1})
}
