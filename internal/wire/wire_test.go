package wire

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type sample struct {
	Name  string           `cbor:"1,keyasint,omitempty"`
	Count uint64           `cbor:"2,keyasint,omitempty"`
	Many  []sample         `cbor:"3,keyasint,omitempty"`
	Named map[string]int64 `cbor:"4,keyasint,omitempty"`
	Ratio float64          `cbor:"5,keyasint,omitempty"`
}

const limit = 1 << 16

var envelopeSeeds = [][]byte{
	{},
	{0x83, 0x01, 0x07, 0x41, 0xff},
	{0x83, 0x01, 0x07, 0x40, 0x83, 0x01, 0x08, 0x40},                         // two
	{0x83, 0x02, 0x07, 0x40},                                                 // another version
	{0x83, 0x01, 0x07, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // a body of 2^64-1 bytes
	{0x9f, 0x01, 0x07, 0x40, 0xff},                                           // indefinite length
	{0x83, 0x01, 0x07, 0x5f, 0x41, 0x01, 0xff},                               // indefinite body
	{0x84, 0x01, 0x07, 0x40, 0x00},                                           // too many fields
	{0x83, 0x19, 0x01, 0x01, 0x07, 0x40},                                     // version 257
	{0x83, 0x01, 0x07, 0x41},                                                 // cut
}

// FuzzNextEnvelope: whatever comes, no panic, and what is taken is what
// AppendEnvelope writes.
func FuzzNextEnvelope(f *testing.F) {
	for _, seed := range envelopeSeeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			e, rest, err := NextEnvelope(data, limit)
			if err != nil {
				assert.Assert(t, KindOf(err) != "")
				return
			}
			again, err := AppendEnvelope(nil, e.Kind, e.Body)
			assert.NilError(t, err)
			assert.Assert(t, len(again) <= len(e.Body)+EnvelopeOverhead)
			back, none, err := NextEnvelope(again, limit)
			assert.NilError(t, err)
			assert.Equal(t, len(none), 0)
			assert.Equal(t, back.Kind, e.Kind)
			assert.Assert(t, bytes.Equal(back.Body, e.Body))
			assert.Assert(t, len(rest) < len(data))
			data = rest
		}
	})
}

var messageSeeds = map[string]Kind{
	"\xa2\x01\x61a\x02\x05":                    "",
	"\xa1\x18\x63\x01":                         "",            // an unknown key is skipped
	"\xa2\x02\x01\x02\x02":                     KindMalformed, // a key twice
	"\xa1\x04\xa2\x61a\x01\x61a\x02":           KindMalformed, // a key twice within
	"\xa1\x05\xf9\x7e\x00":                     KindMalformed, // NaN
	"\xa1\x05\xf9\x7c\x00":                     KindMalformed, // infinity
	"\xa1\x01\x61\xff":                         KindMalformed, // not UTF-8
	"\xbf\x02\x01\xff":                         KindMalformed, // indefinite length
	"\xc1\xa1\x02\x01":                         KindMalformed, // a tag
	"\xa1\x02\x01\x00":                         KindMalformed, // bytes behind the message
	"\xa1\x03\x9a\xff\xff\xff\xff":             KindMalformed, // 2^32-1 elements promised
	"\xa1\x02\x20":                             KindMalformed, // negative count
	strings.Repeat("\xa1\x03\x81", 6) + "\xa0": KindMalformed, // nested too deep
	"\xa1\x03\x99\x40\x01" + manyMaps(1<<14+1): KindMalformed,
}

func manyMaps(n int) string { return strings.Repeat("\xa0", n) }

func TestUnmarshalSeeds(t *testing.T) {
	for seed, want := range messageSeeds {
		var v sample
		assert.Equal(t, KindOf(Unmarshal([]byte(seed), limit, &v)), want, "%x", seed[:min(len(seed), 20)])
	}
}

// FuzzUnmarshal: what is decoded survives encoding and decoding.
func FuzzUnmarshal(f *testing.F) {
	for seed := range messageSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second sample
		if err := Unmarshal(data, limit, &first); err != nil {
			assert.Assert(t, KindOf(err) != "")
			return
		}
		again, err := Marshal(first)
		assert.NilError(t, err)
		assert.NilError(t, Unmarshal(again, 2*limit, &second))
		third, err := Marshal(second)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(again, third))
	})
}

func TestSizeLimitBeforeDecoding(t *testing.T) {
	var v sample
	assert.Equal(t, KindOf(Unmarshal(make([]byte, 11), 10, &v)), KindTooLarge)
	_, _, err := NextEnvelope(make([]byte, 11), 10)
	assert.Equal(t, KindOf(err), KindTooLarge)
	_, _, err = NextEnvelope([]byte{0x83, 0x02, 0x07, 0x40}, 10)
	assert.Equal(t, KindOf(err), KindVersion)
}

func TestMarshalRefusesWhatPeersRefuse(t *testing.T) {
	_, err := Marshal(sample{Ratio: math.NaN()})
	assert.Equal(t, KindOf(err), KindEncode)
	_, err = Marshal(make(chan int))
	assert.Equal(t, KindOf(err), KindEncode)
}
