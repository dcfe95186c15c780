package claim

import "github.com/fxamacker/cbor/v2"

// MaxAnswerBody is the size in bytes of the largest answer body that is stored
// with a claim.
const MaxAnswerBody = 64 << 10

// MalformedError is returned for a row that cannot be encoded or decoded.
type MalformedError struct{ Err error }

// Error implements error.
func (e MalformedError) Error() string { return "malformed claim: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e MalformedError) Unwrap() error { return e.Err }

// Encode returns the stored form of a row.
func Encode(r *Row) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, MalformedError{err}
	}
	return data, nil
}

// Decode decodes the stored form of a row. It returns nil if data is empty.
func Decode(data []byte) (*Row, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var r Row
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, MalformedError{err}
	}
	return &r, nil
}
