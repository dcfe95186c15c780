package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	jujuerrors "github.com/juju/errors"
	"github.com/oklog/run"

	"github.com/windscale/windscale/internal/events"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	drainPoll     = 20 * time.Millisecond
	// leaveNotice is how long a leaving backend server goes on to answer that
	// it is leaving before it stops to listen.
	leaveNotice = 500 * time.Millisecond
)

// drainer is a stand-in that can be told to leave.
type drainer interface {
	Leave()
	Idle() bool
}

// program is a stand-in with what runs beside its listener.
type program struct {
	common
	id      string
	handler http.Handler
	run     func(ctx context.Context) // may be nil
	drainer drainer                   // may be nil
}

// serve runs the program until a signal or a failure ends it.
func serve(p program) error {
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return jujuerrors.Annotate(err, "listen")
	}
	var g run.Group
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	p.addServer(&g, listener)
	p.addRun(&g)
	events.StandinReady.Log(context.Background(), logger(), slog.LevelInfo, "id", p.id, "addr", listener.Addr().String())
	err = g.Run()
	var signal run.SignalError
	if errors.As(err, &signal) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return jujuerrors.Trace(err)
}

// addServer adds the listener. Its end waits for the requests in progress.
func (p program) addServer(g *run.Group, listener net.Listener) {
	server := &http.Server{
		Handler:           p.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	drained := make(chan struct{})
	execute := func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-drained
		}
		return err
	}
	g.Add(execute, func(error) {
		defer close(drained)
		p.drain(server)
	})
}

// drain finishes what runs, for the drain limit at most.
func (p program) drain(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), p.DrainLimit)
	defer cancel()
	if p.drainer != nil {
		p.drainer.Leave()
		p.awaitIdle(ctx)
	}
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// awaitIdle waits until nothing runs, and long enough for routers to be told.
func (p program) awaitIdle(ctx context.Context) {
	notice := time.Now().Add(leaveNotice)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for time.Now().Before(notice) || !p.drainer.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addRun adds what runs beside the listener, which ends after it.
func (p program) addRun(g *run.Group) {
	if p.run == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error {
		p.run(ctx)
		return nil
	}
	g.Add(execute, func(error) { cancel() })
}

func splitList(list string) []string {
	var out []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
