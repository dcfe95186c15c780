package front_test

import (
	"log/slog"
	"net/http"
	"strings"
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

// memoryConn is a connection on which a request has arrived.
type memoryConn struct{ data string }

func (m memoryConn) ReadAvailable(b []byte) (int, error) { return copy(b, m.data), nil }
func (m memoryConn) Write(b []byte) (int, error)         { return len(b), nil }

// BenchmarkEarlyRejection measures the rejection of a 9 KB request without its system calls.
func BenchmarkEarlyRejection(b *testing.B) {
	s := state.New("dc", 0.2, 80, time.Now)
	routes := []platformtest.Route{{Prefix: "/s/", Kind: "streaming", Service: "llm", MaxAttempts: 2, Timeout: 6 * time.Second}}
	text := platformtest.Config(1, routes, []string{"llm"}, nil, map[string]string{"k": "k"})
	c, err := platform.DecodeConfig(text)
	assert.NilError(b, err)
	s.ApplyConfig(c, text)
	handler := front.New(front.Config{
		State: s, Pool: upstream.NewPool(time.Now), Headers: platform.Headers{}, Log: slog.New(slog.DiscardHandler),
		MaxBufferedBytes: 8 << 20, MaxInFlight: 100, Meter: meter.New(),
		ProcessorWait: func() time.Duration { return pressure.Saturated }, NearConnLimit: func() bool { return true },
	})
	header := http.Header{}
	platformtest.SetRequestHeaders(header, "a1", "k", 6*time.Second, "aa:6300,bb:2890")
	var request strings.Builder
	request.WriteString("POST /s/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nContent-Length: 9200\r\n")
	assert.NilError(b, header.Write(&request))
	request.WriteString("\r\n" + strings.Repeat("x", 9200))
	rejecter := handler.NewEarlyRejecter()
	arrival := memoryConn{request.String()}
	b.ReportAllocs()
	for b.Loop() {
		if _, verdict := rejecter.Reject(arrival, false); verdict != front.Rejected {
			b.Fatal("the request was admitted")
		}
	}
}
