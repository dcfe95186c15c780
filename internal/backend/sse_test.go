package backend

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// naive reads a stream that is held whole, line by line.
func naive(stream string) (data []string, whole bool) {
	lines := strings.Split(stream, "\n")
	tail := lines[len(lines)-1]
	var event, fields []string
	for _, line := range lines[:len(lines)-1] {
		line = strings.TrimSuffix(line, "\r")
		if line != "" {
			fields = append(fields, line)
			if name, value, _ := strings.Cut(line, ":"); name == "data" {
				event = append(event, strings.TrimPrefix(value, " "))
			}
			continue
		}
		if event != nil {
			data = append(data, strings.Join(event, "\n"))
		}
		event, fields = nil, nil
	}
	return data, tail == "" && fields == nil
}

// read returns the data of all events up to the first error.
func read(d *decoder) (data []string, raw []byte, err error) {
	for {
		e, err := d.Next()
		if err != nil {
			return data, raw, err
		}
		data = append(data, string(e.Data))
		raw = append(raw, e.Raw...)
	}
}

// FuzzDecoder compares the decoder with a naive one, and checks that what it
// passes on stands in the stream.
func FuzzDecoder(f *testing.F) {
	for _, seed := range []string{
		"", "\n", "data: a\n\n", "id: 0\ndata: {}\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n",
		"data: cut", "data: cut\n", "data: a\r\n\r\ndata: b\r\n\r\n", ": comment\n\ndata: a\ndata: b\n\n",
		"id: 01\ndata: a\n\n", "id: -1\n\n", "id: 1\nid: 2\n\n", "data\n\n", "data:\n\n", "\n\n\ndata: x\n\n",
		"data: a\rdata: b\n\n", "data: \x00\n\n", "event: e\nretry: 1\n\n", "id: 99999999999999999999\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		got, raw, err := read(newDecoder(iotestOneByte{strings.NewReader(stream)}))
		assert.Assert(t, err != nil)
		assert.Assert(t, len(raw) <= len(stream))
		want, whole := naive(stream)
		if err == io.EOF {
			assert.Assert(t, whole, "%q", stream)
			assert.DeepEqual(t, got, want)
			return
		}
		if err == io.ErrUnexpectedEOF {
			assert.Assert(t, !whole, "%q", stream)
			assert.DeepEqual(t, got, want)
			return
		}
		assert.Assert(t, len(got) <= len(want)) // malformed: a prefix came out
		for i := range got {
			assert.Equal(t, got[i], want[i])
		}
	})
}

// iotestOneByte gives one byte a time, so that no boundary of reads matters.
type iotestOneByte struct{ r io.Reader }

func (o iotestOneByte) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return o.r.Read(p[:1])
}

func TestDecoderIsBounded(t *testing.T) {
	long := "data: " + strings.Repeat("x", maxLine)
	_, _, err := read(newDecoder(strings.NewReader(long + "\n\n")))
	assert.Equal(t, err, error(ErrLine))
	lines := bytes.Repeat([]byte("data: "+strings.Repeat("x", 1000)+"\n"), maxEvent/1000+1)
	_, _, err = read(newDecoder(bytes.NewReader(lines)))
	assert.Equal(t, err, error(ErrEvent))
}
