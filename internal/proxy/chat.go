package proxy

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
)

// modelRequest is what is read of a chat completion request.
type modelRequest struct {
	model    string
	stream   bool
	messages json.RawMessage // read so that it comes once; the engine gets the body as it is
}

// parseModel reads a chat completion request. The engine reads the same bytes
// with a parser of its own, so that a body is not accepted of which another
// parser could read another model than the customer was allowed: a key that is
// read may come once, and in no other spelling by letter case.
func parseModel(body []byte) (m modelRequest, ok bool) {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return m, false
	}
	fields := map[string]any{"model": &m.model, "stream": &m.stream, "messages": &m.messages}
	for d.More() {
		if !readField(d, fields) {
			return m, false
		}
	}
	if _, err := d.Token(); err != nil { // the closing brace
		return m, false
	}
	_, err := d.Token()
	return m, err == io.EOF && m.model != ""
}

// readField reads one key and its value. It takes the key out of fields, and
// skips one that is not among them.
func readField(d *json.Decoder, fields map[string]any) bool {
	t, err := d.Token()
	key, isKey := t.(string)
	if err != nil || !isKey {
		return false
	}
	to, wanted := fields[key]
	if !wanted {
		var skipped json.RawMessage
		return !ambiguous(key) && d.Decode(&skipped) == nil
	}
	delete(fields, key)
	return d.Decode(to) == nil
}

// ambiguous reports whether some parser could take a key for one that is read:
// for that key came before, or by another spelling.
func ambiguous(key string) bool {
	for _, read := range []string{"model", "stream", "messages"} {
		if strings.EqualFold(key, read) {
			return true
		}
	}
	return false
}
