package backend

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"time"
)

// doneData is the data of the closing event.
const doneData = "[DONE]"

// finishTime is how long the end of a stream may take after its closing event.
const finishTime = 50 * time.Millisecond

const eventStream = "text/event-stream"

// Usage is what an engine says a request has cost.
type Usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// chunk is what is read of a completion or of one chunk of it.
type chunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// finished reports whether every choice of the chunk has a finish reason.
func (c chunk) finished() bool {
	for _, choice := range c.Choices {
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			return false
		}
	}
	return len(c.Choices) > 0
}

// Part is one event of a model's answer.
type Part struct {
	Raw      []byte // to be passed on as it is
	Position int64  // -1: the event has none
	Finished bool   // it follows the last token, or is it
	Closing  bool   // "[DONE]" after a finish reason and the usage
}

// Stream reads a model's streamed answer.
type Stream struct {
	answer   *Answer
	decoder  *decoder
	finished bool
	usage    *Usage
}

// NewStream checks that the answer is an event stream. It takes over answer.
func NewStream(answer *Answer) (*Stream, *Error) {
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	if err != nil || kind != eventStream || answer.Status != http.StatusOK {
		return nil, bodyError(ErrContentType)
	}
	return &Stream{answer: answer, decoder: newDecoder(answer)}, nil
}

// Usage returns the usage the engine gave, or nil.
func (s *Stream) Usage() *Usage { return s.usage }

// Next returns the next part. An end before the closing event is an error.
func (s *Stream) Next() (Part, *Error) {
	e, err := s.decoder.Next()
	if err != nil {
		return Part{}, bodyError(notClosed(err))
	}
	if string(e.Data) == doneData {
		if !s.finished || s.usage == nil {
			return Part{}, bodyError(ErrNotWhole)
		}
		return Part{Raw: e.Raw, Position: -1, Closing: true}, nil
	}
	finished, err := s.take(e)
	if err != nil {
		return Part{}, bodyError(err)
	}
	return Part{Raw: e.Raw, Position: e.ID, Finished: finished}, nil
}

// notClosed names an end of the stream that looks orderly but comes too soon.
func notClosed(err error) error {
	if err == io.EOF {
		return ErrNotClosed
	}
	return err
}

// take reads the finish reason and the usage of a chunk, and reports whether
// it is one of the events that follow the last token.
func (s *Stream) take(e event) (bool, error) {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return false, ErrEvent
	}
	if c.finished() {
		s.finished = true
	}
	if c.Usage != nil {
		s.usage = c.Usage
	}
	return c.finished() || (c.Usage != nil && len(c.Choices) == 0), nil
}

// Finish reads the end of the body after the closing event, so that the
// connection can be kept. It waits a short time only.
func (s *Stream) Finish() {
	timer := time.AfterFunc(finishTime, func() { s.answer.stop(ErrNotClosed) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.decoder.r, 1)
}

// Close frees the connection, which is kept if the stream is at its end.
func (s *Stream) Close() { s.answer.Close() }

// CheckCompletion checks that a plain answer of an engine is a whole
// completion, and returns its usage.
func CheckCompletion(body []byte) (Usage, *Error) {
	var c chunk
	if err := json.Unmarshal(body, &c); err != nil {
		return Usage{}, bodyError(ErrNotWhole)
	}
	if !c.finished() || c.Usage == nil {
		return Usage{}, bodyError(ErrNotWhole)
	}
	return *c.Usage, nil
}
