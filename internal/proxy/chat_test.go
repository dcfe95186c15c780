package proxy

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A body in which another parser could find another model is refused.
func TestModelIsReadOneWayOnly(t *testing.T) {
	for body, model := range map[string]string{
		`{"model":"a"}`: "a",
		`{"max_tokens":3,"model":"a","stream":true,"messages":[{"Model":"b","model":"c"}],"x":{"model":"d"}} `: "a",
		`{"model":"a","models":"b","mode":1}`:     "a",
		`{"model":"a","model":"b"}`:               "",
		`{"model":"a","Model":"b"}`:               "",
		`{"MODEL":"b","model":"a"}`:               "",
		`{"Model":"a"}`:                           "",
		`{"model":"a","\u006dodel":"b"}`:          "",
		`{"model":"a","\u017ftream":true}`:        "", // the long s folds to s
		`{"model":"a","stream":true,"Stream":1}`:  "",
		`{"model":"a","messages":1,"messages":2}`: "",
		`{"model":"a"}{"model":"b"}`:              "",
		`{"model":"a"`:                            "",
		`{"model":"a",}`:                          "",
		`{"model":1}`:                             "",
		`{"model":""}`:                            "",
		`{"model":null}`:                          "",
		`{}`:                                      "",
		`["model","a"]`:                           "",
		`null`:                                    "",
		``:                                        "",
	} {
		m, ok := parseModel([]byte(body))
		assert.Equal(t, ok, model != "", body)
		if ok {
			assert.Equal(t, m.model, model, body)
			assert.Equal(t, m.stream, strings.Contains(body, `"stream":true`), body)
		}
	}
}

// FuzzParseModel compares with two parsers that engines may have: one that
// minds letter case and one that does not.
func FuzzParseModel(f *testing.F) {
	f.Add([]byte(chat("x", 3, true)))
	f.Add([]byte(`{"model":"a","Model":"b","model":"c"}`))
	f.Add([]byte(`{"model":"a"} `))
	f.Fuzz(func(t *testing.T, body []byte) {
		m, ok := parseModel(body)
		if !ok {
			return
		}
		var exact map[string]any
		assert.NilError(t, json.Unmarshal(body, &exact))
		assert.Equal(t, exact["model"], any(m.model))
		var folding struct {
			Model    string
			Stream   bool
			Messages json.RawMessage
		}
		assert.NilError(t, json.Unmarshal(body, &folding))
		assert.Equal(t, folding.Model, m.model)
		assert.Equal(t, folding.Stream, m.stream)
		assert.Equal(t, string(folding.Messages), string(m.messages))
	})
}
