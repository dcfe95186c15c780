package front_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

// retryPause is how long a refused caller of the benchmark waits.
const retryPause = 50 * time.Millisecond

// BenchmarkCloseDelimited measures what close-delimited responses of sound servers cost: the time per
// response, connections to servers, and requests that were run and lost. Three servers take 60 ms per
// request and run six at a time, which 18 callers nearly use up.
func BenchmarkCloseDelimited(b *testing.B) {
	for _, callers := range []int{3, 9, 18, 24} {
		for _, maxConns := range []int{0, 8} {
			b.Run(fmt.Sprintf("callers=%d/maxConns=%d", callers, maxConns), func(b *testing.B) {
				benchmarkCloseDelimited(b, callers, maxConns)
			})
		}
	}
}

// BenchmarkFewPlaces measures close-delimited responses of sound servers that accept fewer connections
// than there are routers, or hardly more: responses lost, connections, and the time per response. 16
// callers send 40 requests a second; with 32 there are more callers than places.
func BenchmarkFewPlaces(b *testing.B) {
	for _, callers := range []int{16, 32} {
		for _, places := range []int{2, 4, 8} {
			b.Run(fmt.Sprintf("callers=%d/places=%d", callers, places), func(b *testing.B) {
				rigs, plain := shareServers(b, 4, 4)
				for _, s := range plain {
					s.CloseDelimited, s.Slots, s.Gap = true, 6, 50*time.Millisecond
					s.SetMaxConns(places)
				}
				measureCloseDelimited(b, rigs, plain, callers, 320*time.Millisecond)
			})
		}
	}
}

func benchmarkCloseDelimited(b *testing.B, callers, maxConns int) {
	r := newRig(b)
	r.configure()
	_, plain := r.servers(3)
	for _, s := range plain {
		s.CloseDelimited, s.Slots, s.Gap = true, 6, 60*time.Millisecond
		s.SetMaxConns(maxConns)
	}
	measureCloseDelimited(b, []*rig{r}, plain, callers, 0)
}

// measureCloseDelimited has callers send b.N requests in turn to the routers, with a pause after each.
func measureCloseDelimited(b *testing.B, rigs []*rig, plain []*platformtest.Server, callers int, pause time.Duration) {
	var left, sent, refused, lost, took atomic.Int64
	left.Store(int64(b.N))
	b.ResetTimer()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				a := rigs[int(sent.Load())%len(rigs)].send(fmt.Sprintf("bench-%d", sent.Add(1)))
				for a.status == http.StatusServiceUnavailable {
					refused.Add(1)
					time.Sleep(retryPause)
					began = time.Now()
					a = rigs[int(sent.Load())%len(rigs)].send(fmt.Sprintf("bench-%d", sent.Add(1)))
				}
				took.Add(int64(time.Since(began)))
				time.Sleep(pause)
				if a.err != nil || a.body != platformtest.Body(a.attempt) {
					lost.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	accepted := 0
	for _, s := range plain {
		accepted += s.ConnectionsAccepted()
	}
	n := float64(b.N)
	b.ReportMetric(float64(took.Load())/n/1e6, "ms/response")
	b.ReportMetric(float64(accepted)/n, "conns/response")
	b.ReportMetric(float64(lost.Load())/n, "lost/response")
	b.ReportMetric(float64(refused.Load())/n, "refusals/response")
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(n/b.Elapsed().Seconds(), "responses/s")
}

// send sends an unsafe request.
func (r *rig) send(attempt string) answer {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, r.server.URL+"/u/x", http.NoBody)
	if err != nil {
		return answer{err: err}
	}
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, attempt, "k", 2*time.Second, "")
	return do(req, attempt)
}
