package load

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/standin/answer"
)

// The weights of tokens in the cost of a model's answer.
const (
	promptCost     = 1
	completionCost = 4
)

// request is one request with the answer that it must get.
type request struct {
	target string // base URL
	method string
	path   string
	body   []byte
	key    string // Idempotency-Key, or ""
	stream bool

	completion   answer.Completion // models
	promptTokens int               // models
	want         []byte            // plain services: the body
}

// cost is the service that a complete response stands for: weighted tokens, or one
// for a plain service.
func (r *request) cost() int64 {
	if r.want != nil {
		return 1
	}
	return int64(r.promptTokens*promptCost + r.completion.Len()*completionCost)
}

// chatRequest is the body of a request to a model.
type chatRequest struct {
	Model     string           `json:"model"`
	Messages  []answer.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// bookingRequest is the body of a booking.
type bookingRequest struct {
	Item  string `json:"item"`
	Count int    `json:"count"`
}

// generator draws the requests of a section, or of one of its callers. It is
// not safe for concurrent use.
type generator struct {
	section *Section
	rng     *rand.Rand
	prefix  string
	seq     int
}

// newGenerator returns the generator of a section's caller. The same seed
// draws the same requests.
func newGenerator(s *Section, seed uint64, caller int) *generator {
	stream := xxhash.Sum64String(s.Name) + uint64(caller)
	g := &generator{section: s, rng: rand.New(rand.NewPCG(seed, stream))}
	shared := rand.New(rand.NewPCG(seed, xxhash.Sum64String(s.Name)))
	g.prefix = words(shared, min(s.Prefix, s.Prompt))
	return g
}

// next draws a request.
func (g *generator) next() (*request, error) {
	r := &request{target: g.section.Targets[g.seq%len(g.section.Targets)]}
	g.seq++
	if g.section.Idempotency {
		r.key = "k-" + g.name()
	}
	var err error
	switch g.section.Kind {
	case Model:
		err = g.chat(r)
	case Status:
		g.status(r)
	case Booking:
		err = g.booking(r)
	}
	return r, err
}

func (g *generator) chat(r *request) error {
	s := g.section
	r.method = http.MethodPost
	r.path = "/v1/chat/completions"
	r.stream = s.Stream
	own := words(g.rng, max(s.Prompt-s.Prefix, 1))
	messages := []answer.Message{{Role: "system", Content: g.prefix}, {Role: "user", Content: own}}
	maxTokens := s.TokensLo + g.rng.IntN(s.TokensHi-s.TokensLo+1)
	prompt := answer.Prompt(messages)
	r.promptTokens = answer.PromptTokens(prompt)
	r.completion = answer.Complete(prompt, maxTokens)
	var err error
	r.body, err = json.Marshal(chatRequest{Model: s.Subject, Messages: messages, MaxTokens: maxTokens, Stream: s.Stream})
	return err
}

func (g *generator) status(r *request) {
	path := "/jobs/" + g.name()
	r.method = http.MethodGet
	r.path = g.servicePath(path)
	r.want = answer.Body(path, nil)
}

func (g *generator) booking(r *request) error {
	const path = "/bookings"
	r.method = http.MethodPost
	r.path = g.servicePath(path)
	var err error
	r.body, err = json.Marshal(bookingRequest{Item: g.name(), Count: 1 + g.rng.IntN(maxItems)})
	r.want = answer.Body(path, r.body)
	return err
}

// servicePath is where callers find a path of the section's service.
func (g *generator) servicePath(path string) string {
	if g.section.Direct {
		return path
	}
	return "/services/" + g.section.Subject + path
}

const (
	maxItems = 9
	nameBase = 36
)

// name draws a name that no other request has.
func (g *generator) name() string { return strconv.FormatUint(g.rng.Uint64(), nameBase) }

func words(rng *rand.Rand, n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(strconv.FormatUint(uint64(rng.Uint32()), nameBase))
		b.WriteByte(' ')
	}
	return b.String()
}
