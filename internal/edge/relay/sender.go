package relay

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/core/offload"
	"github.com/windscale/windscale/internal/events"
)

const (
	// roundInterval is how often the sender looks at its connections while it has streams. Between
	// two looks it sleeps: a blocking wait would take a thread, and a wake-up for each event.
	roundInterval = 2 * time.Millisecond
	// quietInterval is the same after quietRounds looks that found nothing: a host with a few streams
	// would be woken 500 times a second for some ten pieces of answers.
	quietInterval = 8 * time.Millisecond
	quietRounds   = 4
	// readyInterval is the same while connections are to be relayed and there are no streams: credit
	// arrives meanwhile. idleInterval is the same for tunnels that nobody needs.
	readyInterval = 20 * time.Millisecond
	idleInterval  = time.Second
	// candidatesInterval is how often the list of receivers is read.
	candidatesInterval = 500 * time.Millisecond
	// maxRoundEvents bounds the events of a round. The kernel returns the others first in the next one.
	maxRoundEvents = 512
	// tunnelReadSize is the size of the buffer that tunnels are read into.
	tunnelReadSize = 128 << 10
	// forever is a pause that only a wake-up ends.
	forever = time.Hour
)

// SenderConfig holds the dependencies and limits of a Sender.
type SenderConfig struct {
	Self       string                     // this router's control address
	Candidates func() []offload.Candidate // live routers of this data centre
	Log        *slog.Logger
	MaxStreams int // callers' connections that are relayed at a time
	MaxPending int // bytes of answers that wait for their callers
}

// Stats counts what a Sender has done since the start.
type Stats struct {
	Streams       atomic.Int64 // connections relayed
	Unanswered    atomic.Int64 // got 502: their tunnel failed before a byte of the answer
	Cut           atomic.Int64 // reset: their tunnel failed within the answer
	ReceiverReset atomic.Int64 // reset by their receiver
	CallerLeft    atomic.Int64 // the caller broke its connection
	Dropped       atomic.Int64 // closed by this host: too slow, or no byte arrived
	BytesSent     atomic.Int64 // from callers to receivers
	BytesReceived atomic.Int64 // from receivers to callers
}

// Sender relays callers' connections to other hosts. Offer may be called concurrently with Run;
// everything else belongs to the goroutine of Run.
type Sender struct {
	SenderConfig
	Stats Stats

	mu       sync.Mutex
	pool     *offload.Pool
	arrivals []arrival
	dialled  []*senderTunnel // opened since the last round
	wait     time.Duration   // latest wait for the processor
	asleep   bool            // Run waits for wake
	draining bool
	wake     chan struct{}
	open     atomic.Int64 // streams, with those that have not arrived at Run yet
	noPeers  atomic.Bool  // there is no receiver

	epoll        int
	events       []syscall.EpollEvent
	tunnels      map[int32]*senderTunnel // by descriptor
	byState      map[*offload.Tunnel]*senderTunnel
	streams      map[int32]*senderStream // by descriptor
	dirty        []*senderStream         // have bytes for their callers
	pending      int                     // bytes that wait for their callers
	freeBuffers  [][]byte
	callerBuf    []byte
	tunnelBuf    []byte
	candidatesAt time.Time
	scannedAt    time.Time
	quiet        int // rounds in a row in which nothing happened
	relaying     bool
	relayedFrom  int64 // Stats.Streams when relaying began
	dials        sync.WaitGroup
}

// arrival is a connection that was assigned to a tunnel.
type arrival struct {
	fd     int
	tunnel *offload.Tunnel
	at     time.Time
}

// NewSender returns a sender. It relays nothing before Run is called.
func NewSender(c SenderConfig) *Sender {
	return &Sender{
		SenderConfig: c,
		pool:         offload.New(c.Self),
		wake:         make(chan struct{}, 1),
		events:       make([]syscall.EpollEvent, maxRoundEvents),
		tunnels:      map[int32]*senderTunnel{},
		byState:      map[*offload.Tunnel]*senderTunnel{},
		streams:      map[int32]*senderStream{},
		callerBuf:    make([]byte, MaxPayload),
		tunnelBuf:    make([]byte, tunnelReadSize),
	}
}

// Needed is called while this host's wait for the processor is so long that its connections are to
// be relayed. It reports whether there is any host to relay to.
func (s *Sender) Needed(wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	now := time.Now()
	if !s.pool.IsNeeded(now) {
		s.wakeRun()
	}
	s.wait = wait
	s.pool.Needed(now)
	return !s.noPeers.Load()
}

// Offer takes over the descriptor of a connection of which nothing has been read, if a tunnel has
// credit for it.
func (s *Sender) Offer(fd int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.open.Load() >= int64(s.MaxStreams) {
		return false
	}
	now := time.Now()
	t := s.pool.Assign(now)
	if t == nil {
		return false
	}
	s.open.Add(1)
	s.arrivals = append(s.arrivals, arrival{fd, t, now})
	s.wakeRun()
	return true
}

// wakeRun ends a pause of Run, other than the short one between rounds. The caller must hold s.mu.
func (s *Sender) wakeRun() {
	if !s.asleep {
		return
	}
	s.asleep = false
	s.wake <- struct{}{} // has room: Run takes one before it pauses again
}

// Open returns the number of relayed connections.
func (s *Sender) Open() int64 { return s.open.Load() }

// Tunnels returns the number of open tunnels.
func (s *Sender) Tunnels() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Tunnels()
}

// Relaying reports whether connections were to be relayed lately and another one would be.
func (s *Sender) Relaying() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining && s.pool.IsNeeded(time.Now()) && s.pool.HasCredit()
}

// NeededWithin reports whether a connection was to be relayed less than d ago, with or without credit.
func (s *Sender) NeededWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.NeededWithin(time.Now(), d)
}

// Drain makes the sender take no more connections, and waits until those that it has are over or
// ctx is done. It returns how many were left.
func (s *Sender) Drain(ctx context.Context) int64 {
	s.Stop()
	t := time.NewTicker(readyInterval)
	defer t.Stop()
	for s.Open() > 0 {
		select {
		case <-ctx.Done():
			return s.Open()
		case <-t.C:
		}
	}
	return 0
}

// Stop makes the sender take no more connections.
func (s *Sender) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Run relays connections until ctx is done. Then it resets or answers those that it still has.
func (s *Sender) Run(ctx context.Context) error {
	epoll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return err
	}
	s.epoll = epoll
	defer s.close()
	for s.pause(ctx) {
		s.round(ctx, time.Now())
	}
	return ctx.Err()
}

// pause waits for the next round. It returns false once ctx is done.
func (s *Sender) pause(ctx context.Context) bool {
	pause := s.nextPause()
	if pause == roundInterval {
		time.Sleep(roundInterval)
		return ctx.Err() == nil
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.wake:
		return true
	case <-t.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.asleep { // was woken at this moment
		<-s.wake
	}
	s.asleep = false
	return true
}

// nextPause returns the time until the next round. Except in the short pause between rounds, new
// connections wake Run.
func (s *Sender) nextPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := s.open.Load() > 0 || len(s.streams) > 0
	if inUse && s.quiet < quietRounds || len(s.arrivals) > 0 || len(s.dialled) > 0 || s.hasUnwritten() {
		return roundInterval
	}
	s.asleep = true
	switch {
	case inUse:
		return quietInterval
	case s.pool.IsNeeded(time.Now()):
		return readyInterval
	case s.relaying || s.pool.Tunnels() > 0:
		return idleInterval
	}
	return forever
}

// hasUnwritten reports whether a tunnel has bytes to be written.
func (s *Sender) hasUnwritten() bool {
	for _, t := range s.tunnels {
		if len(t.out) > 0 {
			return true
		}
	}
	return false
}

// round handles what has happened since the last one.
func (s *Sender) round(ctx context.Context, now time.Time) {
	s.quiet++
	s.addArrivals()
	s.handleEvents(now)
	s.writeCallers(now)
	s.writeTunnels(now)
	s.endOverdue(now)
	s.maintain(ctx, now)
}

// addArrivals takes over the connections and tunnels that came since the last round.
func (s *Sender) addArrivals() {
	s.mu.Lock()
	arrivals, dialled := s.arrivals, s.dialled
	s.arrivals, s.dialled = nil, nil
	s.mu.Unlock()
	if len(arrivals)+len(dialled) > 0 {
		s.quiet = 0
	}
	for _, t := range dialled {
		s.addTunnel(t)
	}
	for _, a := range arrivals {
		s.addStream(a)
	}
}

// handleEvents handles what has arrived.
func (s *Sender) handleEvents(now time.Time) {
	n, err := syscall.EpollWait(s.epoll, s.events, 0)
	if err != nil {
		return // interrupted: the next round looks again
	}
	if n > 0 {
		s.quiet = 0
	}
	for _, e := range s.events[:n] {
		if st := s.streams[e.Fd]; st != nil {
			s.handleCaller(st, e.Events, now)
		} else if t := s.tunnels[e.Fd]; t != nil {
			s.readTunnel(t, now)
		}
	}
}

// maintain opens and closes tunnels.
func (s *Sender) maintain(ctx context.Context, now time.Time) {
	s.mu.Lock()
	needed := s.pool.IsNeeded(now)
	s.mu.Unlock()
	if needed && now.Sub(s.candidatesAt) >= candidatesInterval {
		s.candidatesAt = now
		candidates := s.Candidates()
		s.noPeers.Store(len(candidates) == 0)
		s.mu.Lock()
		s.pool.SetCandidates(candidates)
		s.mu.Unlock()
	}
	s.mu.Lock()
	closing := s.pool.Poll(now)
	var dials []string
	if !s.draining {
		dials = s.pool.Dials(now)
	}
	s.mu.Unlock()
	for _, c := range closing {
		if t := s.byState[c.Tunnel]; t != nil {
			s.closeTunnel(t, string(c.Reason), nil, now)
		}
	}
	for _, addr := range dials {
		s.dials.Go(func() { s.dial(ctx, addr) })
	}
	s.logRelaying(needed)
}

// logRelaying logs when this host begins to relay connections, and when it has ended.
func (s *Sender) logRelaying(needed bool) {
	switch {
	case needed && !s.relaying && len(s.streams) > 0:
		s.relaying = true
		s.relayedFrom = s.Stats.Streams.Load() - int64(len(s.streams))
		s.mu.Lock()
		wait := s.wait
		s.mu.Unlock()
		events.RelayStarted.Log(context.Background(), s.Log, slog.LevelInfo, "processorWaitMs", wait.Milliseconds(), "tunnels", len(s.tunnels))
	case !needed && s.relaying && len(s.streams) == 0:
		s.relaying = false
		events.RelayEnded.Log(context.Background(), s.Log, slog.LevelInfo, "connections", s.Stats.Streams.Load()-s.relayedFrom, "tunnels", len(s.tunnels))
	}
}

// close ends all streams and tunnels.
func (s *Sender) close() {
	s.Stop()
	s.dials.Wait()
	s.addArrivals()
	now := time.Now()
	for _, t := range s.tunnels {
		s.closeTunnel(t, "process ends", nil, now)
	}
	s.writeCallers(now)
	for _, st := range s.streams {
		s.closeCaller(st)
	}
	_ = syscall.Close(s.epoll)
}
