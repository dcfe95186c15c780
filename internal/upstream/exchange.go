package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/hop"
)

const (
	// maxMismatches is how many responses to other requests are skipped before the request's
	// own.
	maxMismatches = 2
	// maxMismatchBody and mismatchTimeout bound the body of a response to another request.
	maxMismatchBody = 1 << 20
	mismatchTimeout = time.Second
	// maxUnreadBody and unreadTimeout bound the body of a response that is read only so that its
	// connection can be reused.
	maxUnreadBody = 16 << 10
	unreadTimeout = 300 * time.Millisecond
	// maxInlineBody is the largest body that is written before waiting for the response. It
	// fits into a connection's send window.
	maxInlineBody = 2 << 10
)

// Call is the request of one exchange.
type Call struct {
	Server     routing.Identity
	Addr       string
	MaxConns   int  // from this router to the server; 0: no limit
	AtMostOnce bool // the request must not run twice
	Method     string
	Target     string // path and query as sent by the caller
	Host       string
	Header     http.Header
	Body       []byte
	// Matches reports whether a response belongs to this request, by its status and
	// headers.
	Matches func(status int, h http.Header) bool
	// Accepts reports, just before the request is written, whether the server still accepts
	// new requests: opening the connection may have taken long.
	Accepts func() bool
}

// Response is the response of a server. The caller must call Finish or Close.
type Response struct {
	Status int
	Header http.Header // end-to-end headers
	Length int64       // -1: unknown
	Reused bool        // the connection had carried an exchange before
	// CloseDelimited means that only the end of the connection marks the end of the response. The
	// crash of its server looks the same: see AliveCheck.
	CloseDelimited bool
	Body           io.Reader // returns io.EOF only at the end of the response

	exchange *exchange
	resp     *http.Response
}

// exchange holds what is needed to end an exchange.
type exchange struct {
	pool       *Pool
	id         routing.Identity
	conn       *conn
	before     int64 // bytes that the connection had received before the exchange
	began      time.Time
	stopWatch  func() bool // stops watching the caller's context
	once       sync.Once
	noMismatch bool // no response to another request has arrived
}

// Do sends the call and returns the response as soon as its header has arrived. ctx bounds the
// whole exchange, including the body of the response: when it ends, the connection is closed,
// which tells the server.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, *Error) {
	c, err := p.get(ctx, call.Server, call.Addr, call.MaxConns, call.AtMostOnce)
	if err != nil {
		return nil, &Error{Stage: StageDial, Err: err}
	}
	e := &exchange{pool: p, id: call.Server, conn: c, before: c.received, began: p.stalls.begin(), noMismatch: true}
	e.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := ctx.Err(); err != nil {
		e.finish(false, 0)
		return nil, &Error{Stage: StageDial, Err: ErrCancelled}
	}
	if !call.Accepts() {
		e.finish(false, 0)
		return nil, &Error{Stage: StageDial, Err: ErrServerLeaving}
	}
	reused := c.reused
	if wait := p.acceptWaitOf(call, c); wait > 0 && c.rejected(wait) {
		e.finish(false, 0)
		if ctx.Err() != nil {
			return nil, &Error{Stage: StageDial, Err: ErrCancelled}
		}
		p.noteRejection(call.Server)
		return nil, &Error{Stage: StageDial, Err: ErrRejected}
	}
	sent, err := e.send(call)
	if err != nil {
		e.finish(false, 0)
		return nil, &Error{Stage: StageSend, Sent: sent, Reused: reused, Err: err}
	}
	resp, failure := e.receive(call)
	if failure != nil {
		e.finish(false, 0)
		if !reused && e.received() == 0 && errors.Is(failure, syscall.ECONNRESET) {
			p.noteRejection(call.Server)
		}
		failure.Reused = reused
		failure.Received = e.received()
		return nil, failure
	}
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Reused: reused,

		CloseDelimited: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody,
		Body:           body{resp},
		exchange:       e,
		resp:           resp,
	}, nil
}

// received returns how many bytes the server has sent in the exchange. It must not be called while
// the response is being read.
func (e *exchange) received() int64 { return e.conn.received - e.before }

// send writes the request. A long body is written concurrently with waiting for the response,
// which may arrive first.
func (e *exchange) send(call Call) (sent bool, _ error) {
	e.conn.body = bodyWrite{}
	header := requestHeader(call)
	if len(call.Body) <= maxInlineBody {
		n, err := e.conn.Write(append(header, call.Body...))
		return n > 0, err
	}
	n, err := e.conn.Write(header)
	if err != nil {
		return n > 0, err
	}
	written := make(chan struct{})
	e.conn.body.done = written
	go func() {
		defer close(written)
		_, e.conn.body.err = e.conn.Write(call.Body) // reported to whoever reads the response
	}()
	return true, nil
}

// requestHeader encodes the request line and the headers.
func requestHeader(call Call) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads the header of the response to this request.
func (e *exchange) receive(call Call) (*http.Response, *Error) {
	req := &http.Request{Method: call.Method}
	for range maxMismatches + 1 {
		resp, err := e.readHead(req)
		if err != nil {
			return nil, err
		}
		if call.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		e.noMismatch = false
		if err := e.discard(resp, maxMismatchBody, mismatchTimeout); err != nil || resp.Close {
			return nil, &Error{Stage: StageResponse, Sent: true, Err: ErrResponseMismatch}
		}
	}
	return nil, &Error{Stage: StageResponse, Sent: true, Err: ErrResponseMismatch}
}

// discard reads the body of a response that is of no use: up to limit bytes, within the timeout.
func (e *exchange) discard(resp *http.Response, limit int64, timeout time.Duration) error {
	if resp.Body == http.NoBody {
		return nil
	}
	if err := e.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if n > limit {
		return &intake.LimitError{Bound: intake.BoundBody, Limit: limit}
	}
	return e.conn.SetReadDeadline(time.Time{})
}

// body is the body of a response. It drops the trailers, which are of no use to callers.
type body struct{ resp *http.Response }

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.resp.Trailer = nil
	}
	return n, err
}

// readHead reads the head of one response, skipping informational (1xx) ones.
func (e *exchange) readHead(req *http.Request) (*http.Response, *Error) {
	var scanner intake.HeadScanner
	for {
		if _, err := e.conn.br.Peek(1); err != nil {
			return nil, &Error{Stage: StageSend, Sent: true, Err: err}
		}
		if err := e.conn.fillHead(&scanner, e.pool.now); err != nil {
			return nil, &Error{Stage: StageResponse, Sent: true, Err: err}
		}
		resp, err := http.ReadResponse(e.conn.br, req)
		if err == nil {
			err = intake.CheckHead(resp.StatusCode, resp.Header)
		}
		if err != nil {
			return nil, &Error{Stage: StageResponse, Sent: true, Err: &MalformedError{Err: err}}
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &Error{Stage: StageResponse, Sent: true, Err: ErrUpgrade}
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// FinishCloseDelimited is Finish for a close-delimited response. It reports whether the end may have been
// noticed so late that another process has the server's address.
func (r *Response) FinishCloseDelimited() (late bool) {
	e := r.exchange
	late = e.pool.stalls.stalledSince(e.began)
	r.Finish()
	return late
}

// Received returns how many bytes the server has sent, with those of the header. It must not be called
// while Body is being read.
func (r *Response) Received() int64 { return r.exchange.received() }

// Finish ends the exchange after the body was read to its end. The connection is returned to
// the pool if it is reusable.
func (r *Response) Finish() {
	idleTimeout, announced := keepAliveTimeout(r.resp.Header)
	e := r.exchange
	// A response may end before the request's body is written.
	reusable := e.noMismatch && !r.resp.Close && (!announced || idleTimeout > expiryMargin) && e.conn.body.succeeded()
	e.finish(reusable, idleTimeout)
}

// FinishUnread is Finish for a response whose body is of no use.
func (r *Response) FinishUnread() {
	if r.exchange.discard(r.resp, maxUnreadBody, unreadTimeout) != nil {
		r.Close()
		return
	}
	r.Finish()
}

// Close ends the exchange before the body was read to its end, and closes the connection.
func (r *Response) Close() { r.exchange.finish(false, 0) }

// finish returns the connection to the pool or closes it, once.
func (e *exchange) finish(reusable bool, idleTimeout time.Duration) {
	e.once.Do(func() {
		e.pool.stalls.end()
		if !e.stopWatch() {
			reusable = false // the context has ended, which closes the connection
		}
		if reusable {
			e.pool.putIdle(e.id, e.conn, idleTimeout)
			return
		}
		e.pool.discard(e.id, e.conn)
	})
}

// keepAliveTimeout returns how long the server keeps an idle connection, if it announced that.
func keepAliveTimeout(h http.Header) (_ time.Duration, announced bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// EndToEnd copies the end-to-end headers, without those that each side sets itself.
func EndToEnd(h http.Header) http.Header {
	return hop.EndToEnd(h, "Content-Length", "Host", "Expect")
}
