package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/probe"
	"github.com/windscale/windscale/internal/settingsstore"
	"github.com/windscale/windscale/internal/standin/engine"
	standin "github.com/windscale/windscale/internal/standin/platform"
)

// counted is a server whose connections' bytes are counted, both ways, without
// the headers of TCP and IP.
type counted struct {
	*httptest.Server
	bytes atomic.Int64
}

func newCounted(h http.Handler) *counted {
	c := &counted{Server: httptest.NewUnstartedServer(h)}
	c.Listener = &countedListener{Listener: c.Listener, bytes: &c.bytes}
	c.Start()
	return c
}

// during returns the bytes that f causes.
func (c *counted) during(f func() error) (float64, error) {
	before := c.bytes.Load()
	err := f()
	return float64(c.bytes.Load() - before), err
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// hostList is a list of n hosts as the platform holds it.
func hostList(n int) []byte {
	var list []platform.Host
	for i := range n {
		list = append(list, platform.Host{
			ID:         fmt.Sprintf("engine-%04d", i),
			Role:       platform.RoleServer,
			Addr:       fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			DataCentre: fmt.Sprint("dc", i%centres),
			State:      platform.HostLive,
		})
	}
	b, err := json.Marshal(list)
	if err != nil {
		panic(err) // hosts can be encoded
	}
	return b
}

// listBytes is what one reading of a list of n hosts carries: the first, and
// one of an unchanged list.
func listBytes(n int) (whole, unchanged float64, err error) {
	srv := newCounted(standin.New(0))
	defer srv.Close()
	req, err := http.NewRequest(http.MethodPut, srv.URL+"/_hosts", bytes.NewReader(hostList(n)))
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	resp.Body.Close()
	client := httpplatform.New(srv.URL, nil)
	read := func() error {
		_, err := client.Hosts(context.Background())
		return err
	}
	if whole, err = srv.during(read); err != nil {
		return 0, 0, err
	}
	unchanged, err = srv.during(read)
	return whole, unchanged, err
}

// headBytes is what n readings of the settings' head row carry.
func headBytes(n int) (float64, error) {
	srv := newCounted(standin.New(0))
	defer srv.Close()
	client := httpplatform.New(srv.URL, nil)
	store := settingsstore.New(client, client)
	edit := settingsstore.Edit{ID: settingsstore.NewEditID(), Source: settingsText(customersPerGroup), Editor: "ana"}
	if _, err := store.Accept(context.Background(), edit); err != nil {
		return 0, err
	}
	return srv.during(func() error {
		for range n {
			if _, err := store.Head(context.Background()); err != nil {
				return err
			}
		}
		return nil
	})
}

// reportBytes is what n load reports of a model engine carry.
func reportBytes(n int) (float64, error) {
	srv := newCounted(engine.New(engine.Options{ID: "e1", Models: []string{"plan-7b", "claims-13b"}, Slots: 128, Rate: 20}))
	defer srv.Close()
	got := make(chan error, 1)
	p := probe.New(func(_ msg.ServerID, _ probe.Report, err error) { got <- err })
	return srv.during(func() error {
		for range n {
			p.Ask(context.Background(), msg.ServerID("e1"), srv.Listener.Addr().String())
			select {
			case err := <-got:
				if err != nil {
					return err
				}
			case <-time.After(linkWait):
				return &LinkError{Want: int64(n)}
			}
		}
		return nil
	})
}

// measurePolls measures what a router asks of the platform and the servers.
func measurePolls() ([]Slope, error) {
	var failed error
	note := func(f func(int) (float64, error)) func(int) float64 {
		return func(n int) float64 {
			v, err := f(n)
			if err != nil {
				failed = err
			}
			return v
		}
	}
	whole := func(n int) (float64, error) { v, _, err := listBytes(n); return v, err }
	same := func(n int) (float64, error) { _, v, err := listBytes(n); return v, err }
	out := []Slope{
		measureAt(Slope{Key: "list-bytes", What: "reading a changed host list, both ways", Unit: "bytes", Per: "hosts"},
			[]int{100, 300, 1000}, note(whole)),
		measureAt(Slope{Key: "list-same-bytes", What: "reading an unchanged host list", Unit: "bytes", Per: "hosts"},
			[]int{100, 300, 1000}, note(same)),
		measureAt(Slope{Key: "head-bytes", What: "reading the settings' head row", Unit: "bytes", Per: "readings"},
			[]int{10, 30, 100}, note(headBytes)),
		measureAt(Slope{Key: "report-bytes", What: "load reports of a backend server", Unit: "bytes", Per: "reports"},
			[]int{10, 30, 100}, note(reportBytes)),
	}
	return out, failed
}
