package link

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
)

// BenchmarkLink measures a message of 30 bytes and its answer, one at a time:
// the time there and back, and what QUIC puts on the wire for it.
func BenchmarkLink(b *testing.B) {
	authority, err := fleetcert.NewAuthority(time.Now())
	assert.NilError(b, err)
	var links [2]*Link
	ids := [2]msg.RouterID{"a", "b"}
	back := make(chan struct{}, 1)
	var answers atomic.Int64
	for i, id := range ids {
		pair, err := authority.Router(id, nil, time.Now())
		assert.NilError(b, err)
		c, err := fleetcert.NewCredentials(pair, authority.Pool())
		assert.NilError(b, err)
		links[i], err = New(Config{
			ID: id, Listen: "127.0.0.1:0", TLS: c,
			Resolve: func(to msg.RouterID) (string, bool) {
				other := links[1]
				if to == "a" {
					other = links[0]
				}
				return other.Addr().String(), true
			},
			Handler: func(from msg.RouterID, kind uint8, body []byte) {
				if id == "b" {
					links[1].Send(from, kind, body)
					return
				}
				answers.Add(1)
				back <- struct{}{}
			},
		})
		assert.NilError(b, err)
		go links[i].Run(b.Context())
	}
	body := make([]byte, 30)
	exchange := func() {
		links[0].Send("b", kindPlain, body)
		<-back
	}
	exchange()
	before := links[0].Stats()
	for b.Loop() {
		time.Sleep(2 * coalesceTime) // control traffic is sparse
		exchange()
	}
	after := links[0].Stats()
	wire := after.WireSent - before.WireSent + after.WireReceived - before.WireReceived
	b.ReportMetric(float64(wire)/float64(b.N), "wireB/exchange")
}
