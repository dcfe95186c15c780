package controlplane

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/peers"
	"github.com/windscale/windscale/internal/edge/state"
)

const (
	// tickEvery is how often a router's state forgets what is old.
	tickEvery = 200 * time.Millisecond
	// pauseMost bounds how far behind its work a host may be before datagrams are dropped: the
	// system's buffer of a socket.
	pauseMost = time.Second
)

// spent is what a host has spent.
type spent struct {
	in, out    int64 // messages
	inB, outB  int64
	processor  time.Duration
	storeCalls int64
}

// host is one host with its router. A life is one run of its process.
type host struct {
	sim    *sim
	index  int
	addr   string
	centre string
	cores  float64
	life   int
	up     bool
	peers  *peers.Peers
	state  *state.State
	free   time.Duration // when its processor has time again
	link   time.Duration // when its link does
	spent  spent
	began  time.Duration
	ready  time.Duration // when it had its view; negative: not yet
	heard  time.Duration // when a datagram came last
	joined bool
}

// boot starts the router's process.
func (h *host) boot(firstStart bool) {
	s := h.sim
	h.life++
	h.up = true
	h.began = s.now
	h.ready = -1
	h.joined = false
	h.free = s.now
	seed := s.Seed + uint64(h.index)*1000 + uint64(h.life)
	h.state = state.NewSeeded(h.centre, retryRatio, retrySlack, s.time, seed)
	h.state.SetSelf(h.addr)
	self := spread.Member{Addr: h.addr, DataCentre: h.centre, Cores: float32(h.cores)}
	h.peers = peers.NewOnNetwork(h, h.state, s.log, self, func([]byte) (*routing.Config, error) { return s.config, nil }, seed, s.time)
	h.peers.Add(true, s.seeds()...)
	h.peers.Join(s.seeds(), firstStart)
	h.work(costProcess)
	life := h.life
	h.at(life, 0, func() { h.step(life) })
	h.at(life, tickEvery, func() { h.tick(life) })
	h.at(life, 0, func() { h.follow(life) })
}

const (
	retryRatio = 0.2
	retrySlack = 1040
)

// end ends the process.
func (h *host) end() {
	h.up = false
	h.life++
}

// at plans something of one life of the process, not before its processor has time.
func (h *host) at(life int, d time.Duration, do func()) {
	s := h.sim
	s.after(max(d, h.free-s.now), func() {
		if h.up && h.life == life {
			do()
		}
	})
}

// work spends time of one core.
func (h *host) work(d time.Duration) {
	h.spent.processor += d
	h.sim.total.Processor += d
	h.free = max(h.free, h.sim.now) + time.Duration(float64(d)/h.cores)
}

// step is one of the peers' steps.
func (h *host) step(life int) {
	h.work(costWake)
	pause := h.peers.Step(h.sim.time())
	h.noteReady()
	h.at(life, pause, func() { h.step(life) })
}

// tick is one of the state's.
func (h *host) tick(life int) {
	h.work(costWake)
	h.state.Tick()
	h.at(life, tickEvery, func() { h.tick(life) })
}

// noteReady notes when the router has its view.
func (h *host) noteReady() {
	if h.ready < 0 && h.state.Ready() {
		h.ready = h.sim.now - h.began
	}
}

// Send implements peers.Network.
func (h *host) Send(to string, text []byte) error {
	s := h.sim
	kb := float64(len(text)) / 1024
	h.work(costSent + time.Duration(kb*float64(costMadeKB)))
	h.spent.out++
	h.spent.outB += int64(len(text))
	s.total.Messages++
	o := s.byAddr[to]
	if o == nil {
		return nil
	}
	s.carry(h, o, len(text))
	if s.rng.Float64() < s.Loss {
		return nil
	}
	copied := append([]byte(nil), text...)
	s.after(s.delay(h, o)+h.transfer(len(text)), func() { o.take(copied) })
	return nil
}

// transfer is how long the host's link needs until so many bytes are on their way.
func (h *host) transfer(n int) time.Duration {
	took := time.Duration(float64(n) / linkRate * float64(time.Second))
	h.link = max(h.link, h.sim.now) + took
	return h.link - h.sim.now
}

// take takes a datagram in, when the processor has time.
func (h *host) take(text []byte) {
	if !h.up || h.free-h.sim.now > pauseMost {
		return
	}
	h.at(h.life, 0, func() {
		kb := float64(len(text)) / 1024
		h.work(costTaken + time.Duration(kb*float64(costTakenKB)))
		h.spent.in++
		h.spent.inB += int64(len(text))
		h.heard = h.sim.now
		h.peers.HandleDatagram(text)
	})
}

// Fetch implements peers.Network.
func (h *host) Fetch(from, path string, done func([]byte, error)) {
	s := h.sim
	life := h.life
	h.work(costFetch)
	o := s.byAddr[from]
	if o == nil || !o.up {
		h.at(life, dialTimeout, func() { done(nil, &unreachable{from}) })
		return
	}
	theirs := o.life
	s.after(3*s.delay(h, o), func() { // the connection, and the request
		if !o.up || o.life != theirs {
			h.at(life, dialTimeout, func() { done(nil, &unreachable{from}) })
			return
		}
		o.at(theirs, 0, func() { o.answer(h, life, path, done) })
	})
}

// answer answers a fetch of another host.
func (h *host) answer(to *host, life int, path string, done func([]byte, error)) {
	s := h.sim
	text, err := h.peers.Respond(path)
	kb := float64(len(text)) / 1024
	h.work(costFetch + time.Duration(kb*float64(costGivenKB)))
	h.spent.outB += int64(len(text))
	s.carry(h, to, len(text))
	if strings.HasPrefix(path, "/fleet/join") && err == nil {
		s.result.View = max(s.result.View, len(text))
	}
	// The processor's time is over before the last byte is on its way.
	s.after(h.free-s.now+h.transfer(len(text))+s.delay(h, to), func() {
		to.at(life, 0, func() {
			to.spent.inB += int64(len(text))
			to.work(time.Duration(kb*float64(costFetchKB)) + to.listCost(path, len(text)))
			to.at(life, 0, func() {
				done(text, err)
				to.noteReady()
			})
		})
	})
}

// listCost is what it takes to put a list in force that was fetched.
func (h *host) listCost(path string, n int) time.Duration {
	switch {
	case strings.HasPrefix(path, "/fleet/join"):
		return costConfig + time.Duration(n/listOfServer)*costList
	case strings.HasPrefix(path, "/fleet/configuration"):
		return costConfig
	case strings.HasPrefix(path, "/fleet/changes"):
		return time.Duration(n/listOfServer) * costList
	}
	return 0
}

// unreachable says that a host has no power.
type unreachable struct{ addr string }

// Error implements error.
func (e *unreachable) Error() string { return "no answer from " + e.addr }

// delay is the way from one host to another.
func (s *sim) delay(a, b *host) time.Duration {
	if a.centre == b.centre {
		return nearDelay
	}
	return farDelay
}

// carry counts bytes on the network.
func (s *sim) carry(a, b *host, n int) {
	s.total.Bytes += int64(n)
	if a.centre != b.centre {
		s.total.Between += int64(n)
	}
}

// request has the router send a request to a server, which answers after a while.
func (h *host) request(i int) {
	if !h.up || h.ready < 0 {
		return
	}
	life := h.life
	need := state.Request{
		Service:  service,
		Route:    &routing.Route{Kind: routing.Stream, Target: time.Second, MaxAttempts: 1},
		Customer: fmt.Sprintf("customer%03d", rand.New(rand.NewPCG(uint64(i), 1)).IntN(max(h.sim.Customers, 1))),
		Meta: &routing.RequestMeta{Prompt: []routing.PromptPart{
			{ID: fmt.Sprintf("shared%d", i%2000), Tokens: 6000},
			{ID: fmt.Sprintf("own%d", i), Tokens: 2000},
		}, TokensOut: 50},
	}
	placed := h.state.Place(need)
	if placed.Reason != state.ReasonNone {
		return
	}
	h.at(life, 250*time.Millisecond, func() { h.state.NoteFirstEvent(&placed) })
	h.at(life, 700*time.Millisecond, func() { h.state.End(&placed, pick.Succeeded) })
}

// follow is the router's following of the store: what internal/edge/follow does, without its
// clients and its failures.
func (h *host) follow(life int) {
	s := h.sim
	again := func(d time.Duration) { h.at(life, d, func() { h.follow(life) }) }
	if h.joining() {
		again(idlePoll)
		return
	}
	role := h.peers.Role()
	if role == follow.Indirect {
		h.state.StopFollowing()
		again(idlePoll)
		return
	}
	if s.store.cut[h] {
		h.spent.storeCalls++
		h.state.StoreDown()
		again(idlePoll)
		return
	}
	as, listed := h.state.ResumeStamp()
	if !listed {
		s.store.read(h, life, again)
		return
	}
	s.store.wait(h, life, as, again)
}

// joining reports whether the router seeks its first view.
func (h *host) joining() bool {
	if !h.joined {
		select {
		case <-h.peers.JoinDone():
			h.joined = true
		default:
		}
	}
	return !h.joined
}

const idlePoll = 100 * time.Millisecond
