// Package wire is the encoding of the messages between routers: CBOR with
// integer keys, in versioned envelopes. What comes from a peer is decoded
// within limits of size, nesting and element count; duplicate keys,
// indefinite lengths, tags, NaN and infinity are refused. Unknown keys are
// skipped, so that a newer router may add fields.
//
// The functions have no state and may be called from any goroutine.
package wire

import (
	"github.com/fxamacker/cbor/v2"
)

// Limits of what is decoded.
const (
	MaxNesting  = 8
	MaxElements = 1 << 14 // of one array, and pairs of one map
)

// Version is the version of the envelope and of the messages within. Routers
// of different versions do not understand each other.
const Version = 1

// Envelope is one message on the link. A datagram or a stream holds one or
// more, one after the other.
type Envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    uint8 // says what Body holds; the users of the link give the numbers
	Body    []byte
}

// EnvelopeOverhead is the most that an envelope adds to its body, in bytes.
const EnvelopeOverhead = 1 + 1 + 2 + 5

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{
		Sort:          cbor.SortBytewiseLexical,
		ShortestFloat: cbor.ShortestFloat16,
		NaNConvert:    cbor.NaNConvertReject,
		InfConvert:    cbor.InfConvertReject,
		IndefLength:   cbor.IndefLengthForbidden,
		TagsMd:        cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		panic(&Error{Kind: KindEncode, Err: err}) // the constants above are wrong
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  MaxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		NaN:              cbor.NaNDecodeForbidden,
		Inf:              cbor.InfDecodeForbidden,
	}.DecMode()
	if err != nil {
		panic(&Error{Kind: KindMalformed, Err: err}) // the constants above are wrong
	}
	return mode
}

// Marshal encodes a message. The error is KindEncode.
func Marshal(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, &Error{Kind: KindEncode, Err: err}
	}
	return data, nil
}

// Unmarshal decodes data, all of it, into v. Data longer than limit bytes is
// KindTooLarge before any of it is read; all else that is wrong is
// KindMalformed, after which v must not be used.
func Unmarshal(data []byte, limit int, v any) error {
	if len(data) > limit {
		return &Error{Kind: KindTooLarge, Size: len(data)}
	}
	if err := decoder.Unmarshal(data, v); err != nil {
		return &Error{Kind: KindMalformed, Size: len(data), Err: err}
	}
	return nil
}

// AppendEnvelope appends the envelope of one message to dst.
func AppendEnvelope(dst []byte, kind uint8, body []byte) ([]byte, error) {
	data, err := Marshal(Envelope{Version: Version, Kind: kind, Body: body})
	if err != nil {
		return dst, err
	}
	return append(dst, data...), nil
}

// NextEnvelope decodes the first envelope in data and returns the rest. The
// limit holds for the whole of data. Errors are those of [Unmarshal] and
// KindVersion.
func NextEnvelope(data []byte, limit int) (Envelope, []byte, error) {
	if len(data) > limit {
		return Envelope{}, nil, &Error{Kind: KindTooLarge, Size: len(data)}
	}
	var e Envelope
	rest, err := decoder.UnmarshalFirst(data, &e)
	if err != nil {
		return Envelope{}, nil, &Error{Kind: KindMalformed, Size: len(data), Err: err}
	}
	if e.Version != Version {
		return Envelope{}, nil, &Error{Kind: KindVersion, Size: len(data)}
	}
	return e, rest, nil
}
