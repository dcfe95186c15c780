// Package golden compares encoded values with bytes kept under testdata. An earlier release wrote
// those bytes, so they are never written again: a difference means that routers or stored data of
// the two releases no longer understand each other.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Check encodes the value, compares the result with the file of that name under testdata, and
// decodes the file, which must give the value again. A nil decode is for output that nothing reads back.
func Check[T any](t *testing.T, file string, encode func(any) ([]byte, error), decode func([]byte, any) error, value T) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	got, err := encode(value)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: encoded as\n%x\nwant\n%x", file, got, want)
	}
	if decode == nil {
		return
	}
	var back T
	if err := decode(want, &back); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if !reflect.DeepEqual(back, value) {
		t.Errorf("%s: decoded as\n%+v\nwant\n%+v", file, back, value)
	}
}
