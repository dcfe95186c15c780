package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
)

// Request is the part of a chat-completions request that the engine reads.
type Request struct {
	Model     string           `json:"model"`
	Messages  []answer.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
}

// Usage is what a request cost.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the one choice of an answer or a chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is the model's message, or a piece of it.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Answer is a complete response or one chunk of a stream.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

const (
	objectWhole = "chat.completion"
	objectChunk = "chat.completion.chunk"
	assistant   = "assistant"
)

// output writes one job's answer to one connection.
type output struct {
	e      *Engine
	w      http.ResponseWriter
	r      *http.Request
	job    *job
	reader *reader
	fault  Fault
}

// wait returns how many tokens there are once there are more than sent or the
// job has ended, and false if the connection or the job is gone.
func (o output) wait(sent int) (emitted int, ended, ok bool) {
	for {
		emitted, ended, mine := o.e.batch.state(o.job, o.reader)
		if !mine {
			return 0, false, false
		}
		if emitted > sent || ended {
			return emitted, ended, true
		}
		select {
		case <-o.r.Context().Done():
			return 0, false, false
		case <-o.reader.wake:
		}
	}
}

// whole waits for all tokens and answers once.
func (o output) whole() {
	for sent := 0; ; {
		emitted, ended, ok := o.wait(sent)
		if !ok {
			backend.Break()
		}
		sent = emitted
		if ended {
			break
		}
	}
	body, err := json.Marshal(o.wholeAnswer())
	if err != nil {
		backend.Break()
	}
	if o.fault.Mode == CutAfter || o.fault.Mode == CloseWithoutDone {
		backend.WriteHalf(o.w, "application/json", body)
	}
	backend.WriteWhole(o.w, "application/json", body)
}

func (o output) wholeAnswer() Answer {
	out := o.frame(objectWhole)
	reason := o.job.answer.FinishReason()
	text := o.job.answer.Text(0, o.job.answer.Len())
	out.Choices = []Choice{{Message: &Message{Role: assistant, Content: text}, FinishReason: &reason}}
	out.Usage = o.usage()
	return out
}

// stream sends the tokens from a position on as server-sent events.
func (o output) stream(from int) {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
	o.flush()
	sent := from
	for sent < o.job.answer.Len() {
		emitted, _, ok := o.wait(sent)
		if !ok {
			backend.Break()
		}
		for ; sent < emitted; sent++ {
			if o.fault.Mode == CutAfter && sent >= o.fault.After {
				o.flush()
				backend.Break()
			}
			if o.fault.Mode == CloseWithoutDone && sent >= o.fault.After {
				return
			}
			o.event(sent, o.token(sent))
		}
		o.flush()
	}
	o.finish()
}

// finish sends the finish reason, the usage and the end of the stream.
func (o output) finish() {
	if o.fault.Mode == CutAfter {
		backend.Break()
	}
	if o.fault.Mode == CloseWithoutDone {
		return
	}
	out := o.frame(objectChunk)
	reason := o.job.answer.FinishReason()
	out.Choices = []Choice{{Delta: &Message{}, FinishReason: &reason}}
	out.Usage = o.usage()
	o.event(o.job.answer.Len(), out)
	_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
	o.flush()
}

func (o output) token(i int) Answer {
	out := o.frame(objectChunk)
	delta := &Message{Content: o.job.answer.Token(i)}
	if i == 0 {
		delta.Role = assistant
	}
	out.Choices = []Choice{{Delta: delta}}
	return out
}

func (o output) frame(object string) Answer {
	return Answer{ID: "chatcmpl-" + o.job.key.id, Object: object, Model: o.job.model}
}

func (o output) usage() *Usage {
	completion := o.job.answer.Len()
	return &Usage{PromptTokens: o.job.promptTokens, CompletionTokens: completion, TotalTokens: o.job.promptTokens + completion}
}

// event writes one event. A caller that has gone shows in the request's
// context.
func (o output) event(id int, data Answer) {
	body, err := json.Marshal(data)
	if err != nil {
		backend.Break()
	}
	buf := append([]byte("id: "), strconv.Itoa(id)...)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, body...)
	buf = append(buf, "\n\n"...)
	_, _ = o.w.Write(buf)
}

func (o output) flush() { _ = http.NewResponseController(o.w).Flush() }
