package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/standin/answer"
)

// Class is what became of one request, as its caller sees it.
type Class int

// The classes of result.
const (
	Whole   Class = iota + 1 // the whole right answer, in time
	Late                     // the whole right answer, after the caller's deadline
	Refused                  // a refusal with a status
	Broken                   // no answer, or one that shows that it is cut
	Wrong                    // an answer that is not the request's, or cut and looks whole
	NotSent                  // no connection was to be had
)

// maxLine bounds one line of an event stream, in bytes.
const maxLine = 1 << 20

// verdict is what a check says of a body.
type verdict struct {
	class  Class
	reason string
	gaps   []time.Duration // between tokens
	first  time.Time       // of the first token or byte; zero: none came
}

// completionChunk is what is read of a chunk or a whole completion.
type completionChunk struct {
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage"`
}

type completionChoice struct {
	Delta        completionText `json:"delta"`
	Message      completionText `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

type completionText struct {
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// checkBody compares a plain service's body with the one wanted.
func checkBody(r *request, body io.Reader) verdict {
	var v verdict
	got, err := io.ReadAll(io.LimitReader(body, int64(len(r.want))+1))
	if len(got) > 0 {
		v.first = time.Now()
	}
	switch {
	case !bytes.HasPrefix(r.want, got):
		return v.end(Wrong, "bytes differ")
	case err != nil:
		return v.end(Broken, "body cut")
	case len(got) < len(r.want):
		return v.end(Wrong, "cut but looks whole")
	}
	return v.end(Whole, "")
}

// checkWhole compares a model's answer that is not a stream.
func checkWhole(r *request, body io.Reader) verdict {
	var v verdict
	got, err := io.ReadAll(io.LimitReader(body, maxLine*4))
	if err != nil {
		return v.end(Broken, "body cut")
	}
	v.first = time.Now()
	var whole completionChunk
	if json.Unmarshal(got, &whole) != nil || len(whole.Choices) != 1 {
		return v.end(Wrong, "not a completion")
	}
	choice := whole.Choices[0]
	if choice.Message.Content != r.completion.Text(0, r.completion.Len()) {
		return v.end(Wrong, "bytes differ")
	}
	if choice.FinishReason != r.completion.FinishReason() {
		return v.end(Wrong, "finish reason")
	}
	if !r.usageRight(whole.Usage) {
		return v.end(Wrong, "usage")
	}
	return v.end(Whole, "")
}

func (r *request) usageRight(u *completionUsage) bool {
	return u != nil && u.PromptTokens == r.promptTokens && u.CompletionTokens == r.completion.Len()
}

func (v verdict) end(class Class, reason string) verdict {
	v.class = class
	v.reason = reason
	return v
}

// progress is told of service as it is received: completion tokens and cost, of
// a token or of a complete response that does not come in tokens. It may be called
// from any goroutine.
type progress func(tokens int, cost int64)

// streamCheck follows a streamed answer.
type streamCheck struct {
	request  *request
	progress progress
	want     string // what is still to come
	last     time.Time
	finished bool // the finish reason and the usage came
	verdict  verdict
}

// checkStream compares a model's stream token by token. A stream is whole only
// after its finish reason, its usage and "[DONE]".
func checkStream(r *request, body io.Reader, report progress) verdict {
	c := &streamCheck{request: r, progress: report, want: r.completion.Text(0, r.completion.Len())}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if line == "" {
			event = ""
			continue
		}
		if name, ok := strings.CutPrefix(line, "event:"); ok {
			event = strings.TrimSpace(name)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue // an id or a comment
		}
		if c.data(event, strings.TrimPrefix(data, " ")) {
			return c.verdict
		}
	}
	return c.verdict.end(Broken, "stream cut")
}

// data takes the data of an event; it says true once the verdict is final.
func (c *streamCheck) data(event, data string) bool {
	switch {
	case event == "error":
		c.verdict = c.verdict.end(Broken, "error event "+problemType([]byte(data)))
		return true
	case data == "[DONE]":
		c.verdict = c.done()
		return true
	}
	var chunk completionChunk
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return c.wrong("not a chunk")
	}
	for _, choice := range chunk.Choices {
		if !c.text(choice.Delta.Content) {
			return c.wrong("bytes differ")
		}
		if choice.FinishReason != "" && choice.FinishReason != c.request.completion.FinishReason() {
			return c.wrong("finish reason")
		}
	}
	if chunk.Usage != nil {
		if !c.request.usageRight(chunk.Usage) {
			return c.wrong("usage")
		}
		c.finished = true
	}
	return false
}

func (c *streamCheck) wrong(reason string) bool {
	c.verdict = c.verdict.end(Wrong, reason)
	return true
}

// text takes the text of a chunk and says whether it is what must come next.
func (c *streamCheck) text(text string) bool {
	if text == "" {
		return true
	}
	now := time.Now()
	if c.verdict.first.IsZero() {
		c.verdict.first = now
		c.progress(0, int64(c.request.promptTokens*promptCost))
	} else {
		c.verdict.gaps = append(c.verdict.gaps, now.Sub(c.last))
	}
	c.last = now
	tokens := answer.PromptTokens(text)
	c.progress(tokens, int64(tokens*completionCost))
	rest, ok := strings.CutPrefix(c.want, text)
	c.want = rest
	return ok
}

func (c *streamCheck) done() verdict {
	if c.want != "" || !c.finished {
		return c.verdict.end(Wrong, "cut but looks whole")
	}
	return c.verdict.end(Whole, "")
}

// problemDoc is what is read of an RFC 9457 body.
type problemDoc struct {
	Type string `json:"type"`
}

// problemType returns the type of a problem, or "none".
func problemType(body []byte) string {
	var p problemDoc
	if json.Unmarshal(body, &p) != nil || p.Type == "" {
		return "none"
	}
	return p.Type
}
