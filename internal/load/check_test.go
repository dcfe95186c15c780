package load

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/standin/answer"
)

func modelRequest(maxTokens int) *request {
	return &request{completion: answer.Complete("p", maxTokens), promptTokens: 1, stream: true}
}

// streamEvents are the events of the right answer, one a token, then the last
// chunk and the end.
func streamEvents(r *request) []string {
	var events []string
	for i := range r.completion.Len() {
		events = append(events, fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, r.completion.Token(i)))
	}
	last := fmt.Sprintf("data: {\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d}}\n\n",
		r.completion.FinishReason(), r.completion.Len())
	return append(events, last, "data: [DONE]\n\n")
}

func check(r *request, body string) Class {
	return checkStream(r, strings.NewReader(body), func(int, int64) {}).class
}

// TestStreamCheck changes a right stream at random: only the right stream is
// whole, one that lacks its end is broken, any other change is wrong.
func TestStreamCheck(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := modelRequest(rapid.IntRange(1, 30).Draw(rt, "max"))
		events := streamEvents(r)
		assert.Equal(rt, check(r, strings.Join(events, "")), Whole)
		tokens := r.completion.Len()
		i := rapid.IntRange(0, tokens-1).Draw(rt, "token")
		cut := rapid.IntRange(0, len(events)-1).Draw(rt, "cut")
		assert.Equal(rt, check(r, strings.Join(events[:cut], "")), Broken)

		without := append(append([]string{}, events[:i]...), events[i+1:]...)
		assert.Equal(rt, check(r, strings.Join(without, "")), Wrong)
		twice := append(append([]string{}, events[:i+1]...), events[i:]...)
		assert.Equal(rt, check(r, strings.Join(twice, "")), Wrong)
		noUsage := append(append([]string{}, events[:tokens]...), events[tokens+1])
		assert.Equal(rt, check(r, strings.Join(noUsage, "")), Wrong)

		token := r.completion.Token(i)
		at := rapid.IntRange(0, len(token)-1).Draw(rt, "byte")
		changed := token[:at] + "#" + token[at+1:]
		events[i] = strings.Replace(events[i], token, changed, 1)
		assert.Equal(rt, check(r, strings.Join(events, "")), Wrong)
	})
}

func TestErrorEvent(t *testing.T) {
	r := modelRequest(5)
	v := checkStream(r, strings.NewReader(streamEvents(r)[0]+"event: error\ndata: {\"type\":\"urn:x\"}\n\n"), func(int, int64) {})
	assert.Equal(t, v.class, Broken)
	assert.Equal(t, v.reason, "error event urn:x")
}

// TestBodyCheck cuts, lengthens and changes a plain service's body.
func TestBodyCheck(t *testing.T) {
	r := &request{want: answer.Body("/jobs/1", nil)}
	class := func(body io.Reader) Class { return checkBody(r, body).class }
	half := r.want[:len(r.want)/2]
	broken := io.MultiReader(bytes.NewReader(half), iotest.ErrReader(io.ErrUnexpectedEOF))
	changed := bytes.Clone(r.want)
	changed[3] ^= 1
	assert.Equal(t, class(bytes.NewReader(r.want)), Whole)
	assert.Equal(t, class(bytes.NewReader(half)), Wrong)
	assert.Equal(t, class(broken), Broken)
	assert.Equal(t, class(bytes.NewReader(changed)), Wrong)
	assert.Equal(t, class(bytes.NewReader(append(bytes.Clone(r.want), ' '))), Wrong)
	assert.Equal(t, class(bytes.NewReader(answer.Body("/jobs/2", nil))), Wrong)
}
