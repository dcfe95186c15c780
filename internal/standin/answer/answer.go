// Package answer computes what the stand-in backend servers answer. Every
// answer is a pure function of the request, so that windscale-load can check
// what callers receive byte for byte without asking the server.
package answer

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length limit of a request that names none.
const DefaultMaxTokens = 64

// Message is one message of a chat-completions request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt joins the messages of a request into the text its answer depends on.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// PromptTokens is the number of tokens the stand-in counts in a prompt: its
// words.
func PromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// Completion is a model's complete response to one request. Its tokens are computed
// when asked for. The zero value has no tokens.
type Completion struct {
	seed uint64
	n    int
	max  int
}

// Complete returns the completion of a prompt. Its length lies between half of
// maxTokens and maxTokens and can't be told from the request without computing
// the answer. A maxTokens below 1 stands for DefaultMaxTokens.
func Complete(prompt string, maxTokens int) Completion {
	if maxTokens < 1 {
		maxTokens = DefaultMaxTokens
	}
	seed := mix(xxhash.Sum64String(prompt), uint64(maxTokens))
	spread := uint64(maxTokens/2 + 1)
	return Completion{seed: seed, n: maxTokens - int(seed%spread), max: maxTokens}
}

// Len is the number of tokens.
func (c Completion) Len() int { return c.n }

// FinishReason is the finish_reason of the last chunk: "length" if the
// completion took all the tokens it might, else "stop".
func (c Completion) FinishReason() string {
	if c.n == c.max {
		return "length"
	}
	return "stop"
}

// Token returns the token at position i, counted from 0.
func (c Completion) Token(i int) string {
	return strconv.FormatUint(mix(c.seed, uint64(i))&0xffffff, 36) + " "
}

// Text returns the tokens from position from up to, not including, to.
func (c Completion) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(c.Token(i))
	}
	return b.String()
}

const (
	fillerUnit = 16
	fillerMax  = 64 // units
)

type serviceBody struct {
	Path   string `json:"path"`
	Digest string `json:"digest"`
	Filler string `json:"filler"`
}

// Body returns the body of a plain service's answer to a request for path
// (with its query) that carried body. It is JSON, ends in a newline, and is at
// most a few kilobytes longer than the path.
func Body(path string, body []byte) []byte {
	seed := mix(xxhash.Sum64String(path), xxhash.Sum64(body))
	unit := strconv.FormatUint(seed|1<<63, 16)
	count := 1 + int(seed%fillerMax)
	out, err := json.Marshal(serviceBody{Path: path, Digest: unit, Filler: strings.Repeat(unit[:fillerUnit], count)})
	if err != nil {
		return nil // a struct of strings always encodes
	}
	return append(out, '\n')
}

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
