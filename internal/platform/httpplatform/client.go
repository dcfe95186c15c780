// Package httpplatform is the adapter that speaks to the platform's services
// by HTTP, in the form that package wire describes. Nothing else in the routers
// and tools knows that form.
package httpplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform/wire"
)

// drainLimit is how much of an unwanted body is read so that the connection
// can be used again, in bytes.
const drainLimit = 64 << 10

// Client calls the platform's services. It implements [platform.Table],
// [platform.Objects] and [platform.HostList]. It never repeats a call: a
// caller that gets KindUnknown settles that by reading.
type Client struct {
	base   string
	client http.Client

	mu       sync.Mutex
	hostsTag string          // guarded by mu
	hosts    []platform.Host // guarded by mu
}

var (
	_ platform.Table    = (*Client)(nil)
	_ platform.Objects  = (*Client)(nil)
	_ platform.HostList = (*Client)(nil)
)

// New returns a client of the services under baseURL, such as
// "http://127.0.0.1:9000". It uses a copy of client; nil stands for
// http.DefaultClient. The deadline of a call is its context's.
func New(baseURL string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	c := &Client{base: strings.TrimSuffix(baseURL, "/"), client: *client}
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// AnswerInfo identifies an answer in an error, so that an operator can recognize an unrelated
// program listening at the platform's address.
type AnswerInfo struct {
	Addr       string // host and port of the request URL
	BodyPrefix string // quoted start of the body; empty if there is no body or it was not read
}

// maxBodyPrefix is the number of body bytes included in an error, before quoting.
const maxBodyPrefix = 60

// String implements [fmt.Stringer].
func (i AnswerInfo) String() string {
	if i.BodyPrefix == "" {
		return "from " + i.Addr
	}
	return "from " + i.Addr + ", body starts with " + i.BodyPrefix
}

// StatusError is an HTTP status that is not the one hoped for.
type StatusError struct {
	Status int
	Answer AnswerInfo
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s %s", e.Status, http.StatusText(e.Status), e.Answer)
}

// TooLargeError is an answer longer than the form allows.
type TooLargeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *TooLargeError) Error() string { return "answer too large" }

// UnframedError is an answer that has neither a length nor chunks: where its server crashes, it seems to end.
type UnframedError struct{}

// Error implements error.
func (e *UnframedError) Error() string { return "answer has neither a length nor chunks" }

// FormError is an answer that the form does not allow.
type FormError struct {
	What   string
	Answer AnswerInfo
}

// Error implements error.
func (e *FormError) Error() string {
	return "answer not as agreed: " + e.What + " " + e.Answer.String()
}

// call is one HTTP call.
type call struct {
	op     string
	method string
	path   string
	header http.Header
	body   []byte
	write  bool // its effect matters if the answer is lost
}

// answer is what came of a call that got an HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	addr   string // host and port of the request URL
}

// info returns the details of the answer to include in an error. The body is quoted to keep
// control characters out of logs and terminals.
func (a answer) info() AnswerInfo {
	i := AnswerInfo{Addr: a.addr}
	if len(a.body) > 0 {
		i.BodyPrefix = strconv.QuoteToASCII(string(a.body[:min(len(a.body), maxBodyPrefix)]))
	}
	return i
}

// do makes the call and reads its answer. A failure to get an answer is an
// error; any status is not.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, &platform.Error{Kind: platform.KindUnavailable, Op: k.op, Err: err}
	}
	var sent sentWatch
	req, err := http.NewRequestWithContext(sent.watch(ctx), k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, &platform.Error{Kind: platform.KindUnavailable, Op: k.op, Err: err}
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}, k.lost(sent.mayHaveLeft(err), err)
	}
	defer resp.Body.Close()
	if err := intake.CheckHead(resp.StatusCode, resp.Header); err != nil {
		return answer{}, k.badHead(err)
	}
	if k.write {
		// The status alone tells the outcome.
		_, _ = io.CopyN(io.Discard, resp.Body, drainLimit)
		return answer{status: resp.StatusCode, header: resp.Header, addr: req.URL.Host}, nil
	}
	body, err := readBounded(resp)
	if err != nil {
		return answer{}, k.badRead(err)
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body, addr: req.URL.Host}, nil
}

// lost types the failure of a call that got no answer.
func (k call) lost(mayHaveLeft bool, err error) error {
	if k.write && mayHaveLeft {
		return &platform.Error{Kind: platform.KindUnknown, Op: k.op, Err: err}
	}
	return &platform.Error{Kind: platform.KindUnavailable, Op: k.op, Err: err}
}

// badHead types an answer whose head is malformed. A write may have been done.
func (k call) badHead(err error) error {
	kind := platform.KindMalformed
	if k.write {
		kind = platform.KindUnknown
	}
	return &platform.Error{Kind: kind, Op: k.op, Err: err}
}

// badRead types the failure to read the body of a read's answer.
func (k call) badRead(err error) error {
	var large *TooLargeError
	var unframed *UnframedError
	if errors.As(err, &large) || errors.As(err, &unframed) {
		return &platform.Error{Kind: platform.KindMalformed, Op: k.op, Err: err}
	}
	return &platform.Error{Kind: platform.KindUnavailable, Op: k.op, Err: err}
}

// malformed types an answer that the form does not allow.
func (k call) malformed(a answer, what string) error {
	return &platform.Error{Kind: platform.KindMalformed, Op: k.op, Err: &FormError{What: what, Answer: a.info()}}
}

// status types a status that is not success.
func (k call) status(a answer) error {
	status := a.status
	err := &platform.Error{Op: k.op, Err: &StatusError{Status: status, Answer: a.info()}}
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		err.Kind = platform.KindUnavailable
	case k.write && status == http.StatusPreconditionFailed:
		err.Kind = platform.KindConflict
	case k.write:
		err.Kind = platform.KindUnknown
	case status >= http.StatusInternalServerError:
		err.Kind = platform.KindUnavailable
	default:
		err.Kind = platform.KindMalformed
	}
	return err
}

// readBounded reads a body whose end is known.
func readBounded(resp *http.Response) ([]byte, error) {
	if resp.Close && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, &UnframedError{}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > wire.MaxBody {
		return nil, &TooLargeError{Limit: wire.MaxBody}
	}
	return body, nil
}

// sentWatch learns whether any byte of a request may have left.
type sentWatch struct {
	asked atomic.Bool // the transport asked for a connection
	got   atomic.Bool // and has had one
}

func (s *sentWatch) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { s.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.got.Store(true) },
	})
}

// mayHaveLeft is false only if the request certainly did not leave. A
// transport that does not report its connections is given no benefit.
func (s *sentWatch) mayHaveLeft(err error) bool {
	if s.got.Load() {
		return true
	}
	if s.asked.Load() {
		return false
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}
