package httpplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform/wire"
	standin "github.com/windscale/windscale/internal/standin/platform"
)

// serve returns a client of a handler.
func serve(t *testing.T, h http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return New(server.URL, server.Client())
}

func setFault(t *testing.T, h http.Handler, fault standin.Fault) {
	t.Helper()
	body, err := json.Marshal(fault)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/_fault", strings.NewReader(string(body))))
	assert.Equal(t, w.Code, http.StatusNoContent)
}

// TestTableAgainstMap compares the table with a map under random reads and
// transactions, with right and wrong versions and awkward keys.
func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		server := httptest.NewServer(standin.New(0))
		defer server.Close()
		c := New(server.URL, server.Client())
		oracle := map[string]platform.Row{}
		keys := rapid.SampledFrom([]string{"a", "a/b", "..", "x y?%", "ñ"})
		rt.Repeat(map[string]func(*rapid.T){
			"commit": func(rt *rapid.T) {
				chosen := rapid.SliceOfNDistinct(keys, 1, 3, rapid.ID[string]).Draw(rt, "keys")
				var writes []platform.Write
				right := true
				for _, key := range chosen {
					version := oracle[key].Version
					if rapid.IntRange(0, 4).Draw(rt, "wrong") == 0 {
						version++
						right = false
					}
					value := rapid.SliceOf(rapid.Byte()).Draw(rt, "value")
					writes = append(writes, platform.Write{Key: key, Value: value, IfVersion: version, Delete: rapid.Bool().Draw(rt, "delete")})
				}
				err := c.Commit(t.Context(), writes...)
				if !right {
					assert.Equal(rt, platform.KindOf(err), platform.KindConflict)
					return
				}
				assert.NilError(rt, err)
				for _, w := range writes {
					rows, err := c.Read(t.Context(), w.Key)
					assert.NilError(rt, err)
					if w.Delete {
						delete(oracle, w.Key)
						continue
					}
					assert.Assert(rt, rows[0].Version > w.IfVersion)
					oracle[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: rows[0].Version}
				}
			},
			"": func(rt *rapid.T) {
				asked := rapid.SliceOfN(keys, 1, 4).Draw(rt, "asked")
				rows, err := c.Read(t.Context(), asked...)
				assert.NilError(rt, err)
				for i, key := range asked {
					want := oracle[key]
					assert.Equal(rt, rows[i].Key, key)
					assert.Equal(rt, rows[i].Version, want.Version)
					assert.Equal(rt, string(rows[i].Value), string(want.Value))
				}
			},
		})
	})
}

// operations are one read and each form of write, on the service named.
var operations = []struct {
	name    string
	service string
	write   bool
	run     func(ctx context.Context, c *Client) error
}{
	{"read one", standin.Table, false, func(ctx context.Context, c *Client) error { _, err := c.Read(ctx, "a"); return err }},
	{"read two", standin.Table, false, func(ctx context.Context, c *Client) error { _, err := c.Read(ctx, "a", "b"); return err }},
	{"get", standin.Objects, false, func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "o"); return err }},
	{"hosts", standin.Hosts, false, func(ctx context.Context, c *Client) error { _, err := c.Hosts(ctx); return err }},
	{"commit one", standin.Table, true, func(ctx context.Context, c *Client) error {
		return c.Commit(ctx, platform.Write{Key: "a", Value: []byte("1")})
	}},
	{"commit two", standin.Table, true, func(ctx context.Context, c *Client) error {
		return c.Commit(ctx, platform.Write{Key: "a"}, platform.Write{Key: "b"})
	}},
	{"put", standin.Objects, true, func(ctx context.Context, c *Client) error { return c.PutIfAbsent(ctx, "o", []byte("1")) }},
}

// TestFaults checks, for each operation under each fault, the kind of its
// error and whether it took effect.
func TestFaults(t *testing.T) {
	for _, fault := range []struct {
		mode   standin.Mode
		write  platform.Kind
		effect bool
	}{
		{standin.Down, platform.KindUnavailable, false},
		{standin.Cut, platform.KindUnknown, false},
		{standin.LostReply, platform.KindUnknown, true},
	} {
		for _, op := range operations {
			t.Run(string(fault.mode)+"/"+op.name, func(t *testing.T) {
				h := standin.New(0)
				c := serve(t, h)
				setFault(t, h, standin.Fault{Service: op.service, Mode: fault.mode})
				want := platform.KindUnavailable
				if op.write {
					want = fault.write
				}
				assert.Equal(t, platform.KindOf(op.run(t.Context(), c)), want)
				setFault(t, h, standin.Fault{Service: op.service, Mode: standin.OK})
				if op.write {
					assert.Equal(t, platform.KindOf(op.run(t.Context(), c)) == platform.KindConflict, fault.effect)
				}
			})
		}
	}
}

// TestReusedConnection checks that a write is not sent again by itself when
// the connection it went on breaks.
func TestReusedConnection(t *testing.T) {
	h := standin.New(0)
	c := serve(t, h)
	_, err := c.Read(t.Context(), "a")
	assert.NilError(t, err)
	setFault(t, h, standin.Fault{Service: standin.Table, Mode: standin.LostReply, Count: 1})
	err = c.Commit(t.Context(), platform.Write{Key: "a"})
	assert.Equal(t, platform.KindOf(err), platform.KindUnknown)
}

func TestNobodyListens(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	c := New(server.URL, nil)
	for _, op := range operations {
		assert.Equal(t, platform.KindOf(op.run(t.Context(), c)), platform.KindUnavailable, op.name)
	}
}

// TestDeadline ends the context after the request has arrived and before the
// answer.
func TestDeadline(t *testing.T) {
	for _, op := range operations {
		ctx, cancel := context.WithCancel(t.Context())
		c := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			cancel()
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done() // the connection ends with the call
		}))
		want := platform.KindUnavailable
		if op.write {
			want = platform.KindUnknown
		}
		assert.Equal(t, platform.KindOf(op.run(ctx, c)), want, op.name)
		assert.Equal(t, platform.KindOf(op.run(ctx, c)), platform.KindUnavailable, op.name) // it ended before
	}
}

// TestUnagreed checks answers that the form does not allow: a write's outcome
// is then not known.
func TestUnagreed(t *testing.T) {
	long := make([]byte, wire.MaxBody+1)
	for name, h := range map[string]http.HandlerFunc{
		"redirect":  func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) },
		"teapot":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) },
		"not json":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"too large": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(long) },
	} {
		c := serve(t, h)
		for _, op := range operations {
			if op.name == "get" && name == "not json" {
				continue // an object may be anything
			}
			want := platform.KindMalformed
			if op.write {
				want = platform.KindUnknown
			}
			assert.Equal(t, platform.KindOf(op.run(t.Context(), c)), want, name+"/"+op.name)
		}
	}
}

func TestObjectsAndHosts(t *testing.T) {
	h := standin.New(0)
	c := serve(t, h)
	_, err := c.Get(t.Context(), "a/b")
	assert.Equal(t, platform.KindOf(err), platform.KindAbsent)
	assert.NilError(t, c.PutIfAbsent(t.Context(), "a/b", []byte("x")))
	assert.Equal(t, platform.KindOf(c.PutIfAbsent(t.Context(), "a/b", []byte("y"))), platform.KindConflict)
	body, err := c.Get(t.Context(), "a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "x")

	want := []platform.Host{{ID: "e1", Role: platform.RoleServer, Addr: "127.0.0.1:1", State: platform.HostLeaving}}
	list, err := json.Marshal(want)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/_hosts", strings.NewReader(string(list))))
	assert.Equal(t, w.Code, http.StatusNoContent)
	for range 2 { // the second is answered "not modified"
		hosts, err := c.Hosts(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, hosts, want)
	}
}

// Guards against errors that do not identify the server: an unrelated program may be listening at
// the platform's address.
func TestErrorShowsAddressAndBodyPrefix(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		want   string
	}{
		{"malformed body", http.StatusOK, "hosts.list: malformed answer: answer not as agreed: host list from "},
		{"unexpected status", http.StatusNotFound, "hosts.list: malformed answer: status 404 Not Found from "},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, "<html>\x1b[31m"+strings.Repeat("x", 1000))
			}))
			_, err := client.Hosts(t.Context())
			assert.ErrorContains(t, err, c.want+strings.TrimPrefix(client.base, "http://"))
			assert.ErrorContains(t, err, `"<html>\x1b[31mxxx`)
			assert.Assert(t, len(err.Error()) < 250, "%d", len(err.Error()))
		})
	}
}

// rawServices returns a client of services that give each call the response as it is and close the connection.
func rawServices(t *testing.T, response string) *Client {
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, _ = io.WriteString(c, response)
		_ = c.Close()
	}))
}

// Guards against a part of a row that is taken for the row: its response ended early, or the line that says
// how it is framed was overlooked.
func TestResponseThatMayBeIncompleteIsAnError(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nEtag: \"5\"\r\n"
	for name, c := range map[string]struct {
		response string
		complete bool
	}{
		"length":             {ok + "Content-Length: 5\r\n\r\nwhole", true},
		"chunks":             {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
		"shorter":            {ok + "Content-Length: 5\r\n\r\nwho", false},
		"neither":            {ok + "\r\nwho", false},
		"blank after length": {ok + "Content-Length : 5\r\n\r\nwho", false},
		"blank after coding": {ok + "Transfer-Encoding : chunked\r\nContent-Length: 10\r\n\r\n5\r\nwhole\r\n", false},
		"blank in a name":    {ok + "X-Crate Number: 7\r\nContent-Length: 5\r\n\r\nwhole", false},
		"control byte":       {ok + "X-Crate\x01: 7\r\nContent-Length: 5\r\n\r\nwhole", false},
		"status 000":         {"HTTP/1.1 000 Unknown\r\nEtag: \"5\"\r\nContent-Length: 5\r\n\r\nwhole", false},
		"status with a sign": {"HTTP/1.1 +20 OK\r\nEtag: \"5\"\r\nContent-Length: 5\r\n\r\nwhole", false},
	} {
		t.Run(name, func(t *testing.T) {
			rows, err := rawServices(t, c.response).Read(t.Context(), "k")
			assert.Equal(t, err == nil, c.complete, "%v", err)
			if c.complete {
				assert.Equal(t, string(rows[0].Value), "whole")
			}
		})
	}
}

// A write whose response is malformed may have been done.
func TestMalformedResponseToAWriteIsUnknown(t *testing.T) {
	for _, head := range []string{"200 OK\r\nX-Crate Number: 7", "412 Precondition Failed\r\nX-Crate Number: 7", "000 Unknown"} {
		err := rawServices(t, "HTTP/1.1 "+head+"\r\nContent-Length: 0\r\n\r\n").Commit(t.Context(), platform.Write{Key: "k", Value: []byte("v")})
		var failed *platform.Error
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		assert.Equal(t, failed.Kind, platform.KindUnknown)
	}
}
