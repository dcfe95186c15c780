package peers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/ask"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/golden"
)

// fullMessage has a value in each field.
var fullMessage = scheduleMessage{
	From: "s1",
	Asks: []wireAsk{{
		ID: 2, Service: "s3", Customer: "s4", Priority: 5, Prompt: []wirePart{{ID: "s6", Tokens: 7}}, TokensOut: 8, BodyBytes: 9,
		Regions: []string{"s10"}, Tried: []string{"s11"}, TargetMs: 12, AgeMs: 13, Admitted: true,
	}},
	Decisions: []wireDecision{{
		ID: 14, Verdict: state.Rejected, Server: 15, WaitUs: 16, ProcessingUs: 17, UncachedTokens: 18, TokensAhead: 19.5, FetchFrom: "s20",
		Reason: state.ReasonBusy, RetryAfterMs: 21, Shortage: true,
	}},
	Withdrawn: []uint64{22},
	Queued:    []uint64{23},
}

// TestEncodedScheduleMessageStays is TestEncodedBytesStay for what this release added.
func TestEncodedScheduleMessageStays(t *testing.T) {
	golden.Check(t, "schedule-message.cbor", cbor.Marshal, cbor.Unmarshal, fullMessage)
	golden.Check(t, "heartbeat-asks.cbor", cbor.Marshal, cbor.Unmarshal, heartbeat{ControlAddr: "s1", EndedAsks: 2, OpenAsks: []uint64{3}})
}

// What a scheduler needs to know arrives as it was sent; ages and times in milliseconds.
func TestAskAndDecisionSurviveEncoding(t *testing.T) {
	a := fullMessage.Asks[0].ask("r", 40*time.Millisecond)
	assert.Equal(t, a.Age, 53*time.Millisecond, "with the time that the datagram waited")
	a.Age = 13 * time.Millisecond
	assert.DeepEqual(t, askToWire(a), fullMessage.Asks[0])
	d := fullMessage.Decisions[0].decision("r")
	assert.Equal(t, d.From, "r")
	assert.DeepEqual(t, decisionToWire(d), fullMessage.Decisions[0])
}

// A verdict or reason of a later release must not be taken for another one.
func TestUnknownVerdictAndReasonCountAsDeclined(t *testing.T) {
	for _, w := range []wireDecision{{ID: 1, Verdict: 99}, {ID: 1, Verdict: -1}, {ID: 1, Verdict: state.Rejected, Reason: 99}} {
		assert.Equal(t, w.decision("r"), state.Decision{From: "r", ID: 1})
	}
}

// Routers of earlier releases ignore messages on scheduling: these have no ControlAddr. Their silence
// makes the entry decide itself.
func TestEarlierReleasesIgnoreScheduleMessages(t *testing.T) {
	data, err := cbor.Marshal(heartbeat{Kind: kindSchedule, Schedule: &fullMessage})
	assert.NilError(t, err)
	var earlier struct {
		ControlAddr string              `cbor:"1,keyasint"`
		Kind        kind                `cbor:"3,keyasint,omitempty"`
		Loads       map[uint32][3]int64 `cbor:"8,keyasint,omitempty"`
	}
	assert.NilError(t, cbor.Unmarshal(data, &earlier))
	assert.Equal(t, earlier.ControlAddr, "")
}

// The messages of an ask are as long in a fleet of 986 routers and 10,000 servers as in a small one.
func TestScheduleMessagesDoNotGrowWithTheFleet(t *testing.T) {
	longest := map[int]int{}
	for _, routers := range []int{14, 986} {
		synctest.Test(t, func(t *testing.T) {
			network, list := newStreamNetwork(routers)
			f := &scheduledFleet{t: t, network: network, list: list, scheduler: list[0], entry: list[13]}
			f.observe(f.scheduler, f.entry)
			time.Sleep(time.Second)
			f.observe(f.scheduler, f.entry)
			f.observe(f.entry, f.scheduler)
			f.scheduler.State.ApplyConfig(engineConfig(), nil)
			f.scheduler.State.ReplaceServers(makeServers(10*routers), roster.Stamp{Version: 1}, true)
			var d state.Decision
			var o ask.Outcome
			assert.Equal(t, f.sent(func() { d, o = f.decide(f.entry) }), 2)
			assert.Equal(t, o.Reason, ask.Decided)
			assert.Equal(t, d.Verdict, state.Assigned)
			longest[routers] = network.longest
		})
	}
	assert.Assert(t, longest[986]-longest[14] <= 2, "%v", longest)
	assert.Assert(t, longest[986] < 200, "%v", longest)
}

// engineConfig is a configuration with one service of engines.
func engineConfig() *routing.Config {
	return &routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 300000}}}}
}

// BenchmarkSchedule measures what a scheduler does for an ask: it decodes it, decides and sends the
// decision, and applies its acknowledgement.
func BenchmarkSchedule(b *testing.B) {
	for _, servers := range []int{60, 10_000} {
		p := isolatedPeers(b, time.Now, noWait)
		p.State.ApplyConfig(engineConfig(), nil)
		p.State.ReplaceServers(makeServers(servers), roster.Stamp{Version: 1}, true)
		a := testAsk()
		a.ID = uint64(time.Now().UnixMicro())
		m := scheduleMessage{From: "10.0.0.1:8785", Asks: []wireAsk{askToWire(a)}}
		data, err := cbor.Marshal(heartbeat{Kind: kindSchedule, Schedule: &m})
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("scheduler/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			id := a.ID
			began := processorTime(b)
			for b.Loop() {
				var w heartbeat
				assert.NilError(b, cbor.Unmarshal(data, &w))
				received := w.Schedule.Asks[0].ask(w.Schedule.From, 0)
				id++
				received.ID = id
				d := p.State.Schedule(received)
				p.send([]string{"127.0.0.39:1"}, heartbeat{Kind: kindSchedule, Schedule: &scheduleMessage{From: p.Self.Addr, Decisions: []wireDecision{decisionToWire(d)}}})
				p.State.Acknowledge(received.From, id)
			}
			b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkAskOverSockets measures the processor time of both routers for an ask, its decision and
// the datagrams.
func BenchmarkAskOverSockets(b *testing.B) {
	first, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.0.0.44")})
	assert.NilError(b, err)
	port := first.LocalAddr().(*net.UDPAddr).Port
	second, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.0.0.45"), Port: port})
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var list []*Peers
	for i, conn := range []*net.UDPConn{first, second} {
		s := state.NewSeeded("dc", 0.2, 80, time.Now, 1)
		s.ApplyConfig(engineConfig(), nil)
		s.ReplaceServers(makeServers(64), roster.Stamp{Version: 1}, true)
		self := spread.Member{Addr: fmt.Sprintf("127.0.0.%d:%d", 44+i, port), DataCentre: "dc", Cores: float32(9 - i)}
		p := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), self, conn, nil, nil, noWait, time.Now)
		go func() { _ = p.Receive(ctx) }()
		list = append(list, p)
	}
	_, others := newStreamNetwork(13)
	f := &scheduledFleet{list: append(others, list...)}
	for range 9 {
		f.observe(list[0], f.list...)
		f.observe(list[1], f.list...)
		time.Sleep(100 * time.Millisecond)
	}
	decided := 0
	began := processorTime(b)
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			f.observe(list[0], f.list...)
			f.observe(list[1], f.list...)
		}
		o := list[1].Decide(context.Background(), testAsk(), func(d state.Decision) { decided++ })
		if o.Reason != ask.Decided {
			list[1].asking.breaker = ask.Breaker{} // a busy machine answers late at times
		}
		upTo, _ := list[1].asking.ended()
		list[0].State.Acknowledge(list[1].Self.Addr, upTo)
	}
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(decided)/float64(b.N), "decided/op")
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
