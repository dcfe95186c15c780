package claim

import "github.com/fxamacker/cbor/v2"

// MaxStored is the most bytes of an answer's body that are kept with its claim.
const MaxStored = 64 << 10

// Malformed is the error of a row that can't be read.
type Malformed struct{ Err error }

// Error implements error.
func (m Malformed) Error() string { return "malformed claim: " + m.Err.Error() }

// Unwrap returns the cause.
func (m Malformed) Unwrap() error { return m.Err }

// Encode returns the row's stored form.
func Encode(r *Row) ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, Malformed{err}
	}
	return b, nil
}

// Decode reads a row's stored form; none is nil.
func Decode(b []byte) (*Row, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var r Row
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, Malformed{err}
	}
	return &r, nil
}
