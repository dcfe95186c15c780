package node

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/upstream"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// BenchmarkRefusal measures the cost of a refusal on a host that is behind its work, including
// the caller: by the listener and by net/http, for a request of 9 KB on a connection of its
// own.
func BenchmarkRefusal(b *testing.B) {
	for name, wait := range map[string]time.Duration{"by the listener": pressure.Saturated, "by net/http": pressure.Busy - 1} {
		b.Run(name, func(b *testing.B) {
			s := state.New("dc", 0.2, 80, time.Now)
			routes := []platformtest.Route{{Prefix: "/s/", Kind: "streaming", Service: "llm", MaxAttempts: 2, Timeout: 6 * time.Second}}
			text := platformtest.Config(1, routes, []string{"llm"}, nil, map[string]string{"k": "k"})
			c, err := platform.DecodeConfig(text)
			assert.NilError(b, err)
			s.ApplyConfig(c, text)
			handler := front.New(front.Config{
				State: s, Pool: upstream.NewPool(time.Now), Headers: platform.Headers{}, Log: slog.New(slog.DiscardHandler),
				MaxBufferedBytes: 8 << 20, MaxInFlight: -1, Meter: meter.New(),
				ProcessorWait: func() time.Duration { return wait }, NearConnLimit: func() bool { return true },
			})
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(b, err)
			server := &http.Server{Handler: handler}
			go func() { _ = server.Serve(newLimiter(ln, handler, 112)) }() // returns when the benchmark closes the server
			b.Cleanup(func() { _ = server.Close() })
			header := http.Header{}
			platformtest.SetRequestHeaders(header, "a1", "k", 6*time.Second, "aa:6300,bb:2890")
			var request strings.Builder
			request.WriteString("POST /s/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nContent-Length: 9200\r\n")
			assert.NilError(b, header.Write(&request))
			request.WriteString("\r\n" + strings.Repeat("x", 9200))
			b.ReportAllocs()
			b.SetParallelism(128) // the listener holds each connection briefly until its request arrives
			before := processCPUTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					refuseOne(b, ln.Addr().String(), request.String())
				}
			})
			b.ReportMetric(float64(processCPUTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processCPUTime returns the processor time used by this process so far, callers included.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// refuseOne sends a request on a new connection and reads the answer.
func refuseOne(b *testing.B, addr, request string) {
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, request); err != nil {
		b.Error(err)
		return
	}
	if _, err := io.Copy(io.Discard, c); err != nil {
		b.Error(err)
	}
}
