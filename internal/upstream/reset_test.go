package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/peek"
)

const (
	// uploadSize is more than the buffers of a connection hold.
	uploadSize = 16 << 20
	// bufferedUpload is less than the buffers of a connection hold, and more than its receive window.
	bufferedUpload = 300 << 10
	firstPart      = "first part"
	lastPart       = ", last part"
)

// earlyResponse begins an exchange with a long upload, which the server answers without reading it, by the
// first part of a close-delimited response. end is then called with the server's side of the connection.
func earlyResponse(t *testing.T, end func(c net.Conn)) *Response {
	t.Helper()
	conns := make(chan net.Conn, 1)
	l := listen(t, func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+firstPart)
		conns <- c
	})
	upload := call(l.Addr().String())
	upload.Method, upload.Body = http.MethodPost, make([]byte, uploadSize)
	resp, err := NewPool(time.Now).Do(context.Background(), upload)
	assert.Assert(t, err == nil, "%v", err)
	t.Cleanup(resp.Close)
	assert.Assert(t, resp.CloseDelimited)
	got := make([]byte, len(firstPart))
	_, readErr := io.ReadFull(resp.Body, got)
	assert.NilError(t, readErr)
	end(<-conns)
	return resp
}

// awaitUploadEnd waits until the write of the request's body has failed.
func (r *Response) awaitUploadEnd(t *testing.T) {
	t.Helper()
	select {
	case <-r.exchange.conn.body.done:
	case <-time.After(10 * time.Second):
		t.Fatal("the upload goes on")
	}
}

// Guards against a truncated response that looks complete: a socket reports a reset once. If the write of the
// request's body gets the error, the read that follows sees an orderly end.
func TestResetThatTheUploadNoticesBreaksTheResponse(t *testing.T) {
	resp := earlyResponse(t, reset)
	resp.awaitUploadEnd(t)
	rest, err := io.ReadAll(resp.Body)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, len(rest), 0)
}

// The same if the connection is looked at meanwhile, to learn whether its server runs.
func TestResetThatAPeekNoticesBreaksTheResponse(t *testing.T) {
	conns := make(chan net.Conn, 1)
	l := listen(t, func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+firstPart)
		conns <- c
	})
	resp, err := NewPool(time.Now).Do(context.Background(), call(l.Addr().String()))
	assert.Assert(t, err == nil, "%v", err)
	defer resp.Close()
	_, readErr := io.ReadFull(resp.Body, make([]byte, len(firstPart)))
	assert.NilError(t, readErr)
	reset(<-conns)
	edgetest.Until(t, "the reset is noticed", func() bool { return resp.exchange.conn.state() == peek.Closed })
	_, readErr = io.ReadAll(resp.Body)
	assert.ErrorIs(t, readErr, syscall.ECONNRESET)
}

// A server may answer a request and end its side of the connection in order without reading a long body to
// the end: its response is complete, and is not held back until the body is written.
func TestOrderlyEndBeforeTheUploadIsComplete(t *testing.T) {
	for name, read := range map[string]func(c net.Conn){
		"the upload is not read":     func(net.Conn) {},
		"the upload is read slowly":  readSlowly,
		"the upload is read at once": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	} {
		t.Run(name, func(t *testing.T) {
			resp := earlyResponse(t, func(c net.Conn) {
				endInOrder(t, c)
				go read(c)
			})
			rest, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(rest), lastPart)
			resp.Finish()
		})
	}
}

// A server that closes its connection while a request's body is being sent resets it, whether the end of the
// response or the reset arrives first.
func TestCloseBeforeTheUploadBreaksTheResponse(t *testing.T) {
	for name, awaitReset := range map[string]bool{"end first": false, "reset first": true} {
		t.Run(name, func(t *testing.T) {
			resp := earlyResponse(t, func(c net.Conn) {
				endInOrder(t, c)
				_ = c.Close()
			})
			if awaitReset {
				resp.awaitUploadEnd(t)
			}
			_, err := io.ReadAll(resp.Body)
			var failed *net.OpError
			assert.Assert(t, errors.As(err, &failed), "%v", err)
		})
	}
}

// endInOrder sends the last part of the response and ends the server's side of the connection.
func endInOrder(t *testing.T, c net.Conn) {
	_, err := io.WriteString(c, lastPart)
	assert.Check(t, err)
	assert.Check(t, c.(*net.TCPConn).CloseWrite())
}

// readSlowly reads from a connection until it is closed.
func readSlowly(c net.Conn) {
	buf := make([]byte, 1<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a reset that is taken for the orderly end of a connection before a response: only the
// former tells that the server may be down.
func TestResetThatTheUploadNoticesBeforeTheHead(t *testing.T) {
	for _, sent := range []string{"", "HTTP/1.1 200 OK\r\n"} {
		for range 50 {
			l := listen(t, func(c net.Conn, _ int) {
				_, _ = io.ReadFull(c, make([]byte, 100))
				_, _ = io.WriteString(c, sent)
				reset(c)
			})
			upload := call(l.Addr().String())
			upload.Method, upload.Body = http.MethodPost, []byte(strings.Repeat("b", uploadSize))
			_, err := NewPool(time.Now).Do(context.Background(), upload)
			assert.Assert(t, err != nil && err.Sent)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		}
	}
}

// Guards against a part of a response that looks complete after an upload which the buffers of the connection
// took whole: the server closed the connection before it arrived.
func TestCloseBeforeTheUploadArrivedBreaksTheResponse(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(c net.Conn)
		complete bool
	}{
		"closed":            {func(c net.Conn) { time.Sleep(2 * time.Millisecond); _ = c.Close() }, false},
		"read slowly":       {readSlowly, true},
		"not read":          {func(net.Conn) {}, true},
		"read, then closed": {func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, bufferedUpload)); _ = c.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t, func(conn net.Conn, _ int) {
				assert.Check(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+firstPart)
				endInOrder(t, conn)
				go c.end(conn)
			})
			upload := call(l.Addr().String())
			upload.Method, upload.Body = http.MethodPost, make([]byte, bufferedUpload)
			resp, err := NewPool(time.Now).Do(context.Background(), upload)
			assert.Assert(t, err == nil, "%v", err)
			defer resp.Close()
			resp.awaitUploadEnd(t)
			assert.NilError(t, resp.exchange.conn.body.err)
			_, readErr := io.ReadAll(resp.Body)
			assert.Equal(t, readErr == nil, c.complete, "%v", readErr)
		})
	}
}
