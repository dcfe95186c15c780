// Package backend carries one attempt of a request to a backend server and
// finds out exactly what became of it: not sent, refused, ended or unknown.
// It retries nothing, neither by itself nor by way of net/http's transport.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/dispatch"
)

// The headers of the backend server protocol.
const (
	HeaderRequest = "Windscale-Request"
	HeaderAttempt = "Windscale-Attempt"
	HeaderFence   = "Windscale-Fence"
	HeaderTimeout = "Windscale-Timeout"
	HeaderLeaving = "Windscale-Leaving"
	HeaderFenced  = "Windscale-Fence-Refused"
)

const (
	dialTimeout     = time.Second
	idlePerServer   = 64
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	cancelTimeout   = time.Second
	headerTrue      = "true"
	scheme          = "http"
	streamsPath     = "/v1/streams/"
	writeBufferSize = 64 << 10
)

// Call is one attempt of one request.
type Call struct {
	Server  dispatch.Server
	Request msg.RequestID
	Attempt int
	Method  string
	Path    string // decoded, with the leading slash
	RawPath string // the path's escaped form; empty: the usual one
	Query   string // raw
	Header  http.Header
	Body    []byte
	// Timeout is what is left of the caller's deadline; it is passed on.
	Timeout time.Duration
	// NewConn asks for a connection of the call's own, so that a server that
	// closes an idle one can't make the outcome unknown.
	NewConn bool
	// Guard is asked just before each write of the request; an error stops it.
	Guard func() error
	// Refused lists the statuses by which the server refuses before running.
	Refused []int
	// ChecksFence says that the server refuses an old fencing number, by status
	// 409 and Windscale-Fence-Refused.
	ChecksFence bool
	// Echo demands that the answer names the request and the attempt.
	Echo bool
}

// Client talks to backend servers. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport // keeps idle connections
	single *http.Transport // one connection for one request
}

// New returns a client. Close it when no request runs any more.
func New() *Client {
	single := newTransport()
	single.DisableKeepAlives = true
	return &Client{pooled: newTransport(), single: single}
}

// newTransport returns a transport without redirects, proxies, compression or
// protocols other than HTTP/1.1.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufferSize,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Do sends the call and returns the answer once its header is there and
// checked. The error is an *Error. The answer must be closed. ctx bounds the
// whole exchange, the answer's body included.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, *Error) {
	ctx, stop := context.WithCancelCause(ctx)
	g := &gate{guard: call.Guard, stop: stop}
	req := newRequest(withGate(ctx, g), call)
	transport := c.pooled
	if call.NewConn {
		transport = c.single
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		failure := sendError(g, err)
		stop(err)
		return nil, failure
	}
	if err := checkHead(resp); err != nil {
		stop(err)
		_ = resp.Body.Close()
		return nil, &Error{Stage: StageHeader, Outcome: attempt.Unknown, Err: err}
	}
	if refusal := refusedBy(resp, call); refusal != nil {
		closeBody(resp)
		stop(refusal)
		return nil, refusal
	}
	if !echoed(resp.Header, call) {
		stop(ErrForeign)
		_ = resp.Body.Close()
		return nil, &Error{Stage: StageHeader, Outcome: attempt.Unknown, Foreign: true, Err: ErrForeign}
	}
	return newAnswer(resp, call.Method, stop), nil
}

// checkHead returns why the head is not that of a final HTTP response; nil: it is.
func checkHead(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ErrUpgrade
	}
	return intake.CheckHead(resp.StatusCode, resp.Header)
}

// withGate makes the connection that the transport picks pass its writes
// through g. A second connection after a byte has left on the first would be a
// retry by the transport: it is sealed.
func withGate(ctx context.Context, g *gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn)
			if g.mayHaveSent() {
				g.stop(errReplayed)
				c.hold(nil)
				return
			}
			c.hold(g)
		},
	})
}

// newRequest builds the request. Its body has no GetBody, so that the
// transport can't rewind it.
func newRequest(ctx context.Context, call Call) *http.Request {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderRequest, string(call.Request))
	header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	if call.Timeout > 0 {
		header.Set(HeaderTimeout, call.Timeout.Round(time.Millisecond).String())
	}
	req := &http.Request{
		Method:        call.Method,
		URL:           callURL(call),
		Host:          call.Server.Addr,
		Header:        header,
		ContentLength: int64(len(call.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return req.WithContext(ctx)
}

// callURL returns where the call goes.
func callURL(call Call) *url.URL {
	return &url.URL{
		Scheme:   scheme,
		Host:     call.Server.Addr,
		Path:     call.Path,
		RawPath:  call.RawPath,
		RawQuery: call.Query,
	}
}

// sendError classes a failure before the answer's header. Sealing the gate
// first makes "not sent" certain.
func sendError(g *gate, err error) *Error {
	mayHaveSent := g.seal()
	if refusal := g.refusal(); refusal != nil {
		err = refusal
	}
	if mayHaveSent {
		return &Error{Stage: StageSend, Outcome: attempt.Unknown, Err: err}
	}
	return &Error{Stage: StageDial, Outcome: attempt.NotSent, Leaving: unreachable(err), Err: err}
}

// refusedBy returns the refusal that the status is, or nil.
func refusedBy(resp *http.Response, call Call) *Error {
	if call.ChecksFence && resp.StatusCode == http.StatusConflict && resp.Header.Get(HeaderFenced) == headerTrue {
		return &Error{Stage: StageStatus, Outcome: attempt.Refused, Err: ErrFence}
	}
	if !slices.Contains(call.Refused, resp.StatusCode) {
		return nil
	}
	leaving := resp.Header.Get(HeaderLeaving) == headerTrue
	return &Error{
		Stage:      StageStatus,
		Outcome:    attempt.Refused,
		Leaving:    leaving,
		Busy:       !leaving,
		RetryAfter: retryAfter(resp.Header),
		Err:        ErrStatus,
	}
}

// retryAfter reads Retry-After in seconds; dates are not used.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 || n > int(time.Hour/time.Second) {
		return 0
	}
	return time.Duration(n) * time.Second
}

// echoed checks that the answer names the call's request and attempt. Servers
// that know nothing of windscale name neither.
func echoed(h http.Header, call Call) bool {
	id := h.Values(HeaderRequest)
	number := h.Values(HeaderAttempt)
	if len(id) == 0 && len(number) == 0 {
		return !call.Echo
	}
	return len(id) == 1 && id[0] == string(call.Request) &&
		len(number) == 1 && number[0] == strconv.Itoa(call.Attempt)
}

// Cancel tells the server to stop the attempt and free its slot. It is best
// effort, bounded in time, and may be called while the attempt still runs.
func (c *Client) Cancel(ctx context.Context, s dispatch.Server, id msg.RequestID, n int) *Error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	answer, err := c.Do(ctx, Call{
		Server:  s,
		Request: id,
		Attempt: n,
		Method:  http.MethodDelete,
		Path:    streamPath(id, n),
	})
	if err != nil {
		return err
	}
	answer.Close()
	return nil
}

// streamPath is where an engine keeps the stream of an attempt.
func streamPath(id msg.RequestID, n int) string {
	return streamsPath + string(id) + "/" + strconv.Itoa(n)
}

// Resume asks the engine for the stream of an attempt from a position on.
func (c *Client) Resume(ctx context.Context, call Call, from int64) (*Answer, *Error) {
	call.Method = http.MethodGet
	call.Path = streamPath(call.Request, call.Attempt)
	call.Query = "from=" + strconv.FormatInt(from, 10)
	call.Body = nil
	call.Header = nil
	call.Refused = nil
	answer, err := c.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		answer.Close()
		return nil, &Error{Stage: StageHeader, Outcome: attempt.Unknown, Err: ErrStreamAbsent}
	}
	return answer, nil
}
