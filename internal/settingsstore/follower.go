package settingsstore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/platform"
)

// The defaults of Config.
const (
	DefaultInterval    = time.Second
	DefaultHintSpread  = 500 * time.Millisecond
	DefaultReadTimeout = 2 * time.Second
	DefaultPeerTimeout = time.Second
)

// maxDoublings bounds how often the read timeout doubles while reads fail.
const maxDoublings = 3

// PeerSource asks the other routers for the highest version that one of them
// has in force.
type PeerSource interface {
	Highest(ctx context.Context) (version uint64, digest [32]byte, source []byte, err error)
}

// Config is what a Follower is made of. Zero times take the defaults.
type Config struct {
	Table   platform.Table
	Objects platform.Objects
	Peers   PeerSource // nil: none
	Log     *slog.Logger

	// Interval is the mean time between two reads of the head row. A fleet
	// of n routers costs the table n/Interval reads a second for as long as
	// it runs: 410 routers at the default 410, of about 2,000 that the
	// platform handles. A version is in force within an Interval and a
	// quarter and the time of two reads.
	Interval time.Duration
	// HintSpread is the longest wait from a hint to the read that it
	// causes, so that the routers that a hint reaches don't read all at once.
	HintSpread time.Duration
	// ReadTimeout is the time to read the head row and the object together.
	// It doubles while reads fail, up to 8 times this, so that a slow store
	// is followed too.
	ReadTimeout time.Duration
	PeerTimeout time.Duration // of asking the peers

	// Rand returns numbers from 0 up to 1 for the jitter; nil: math/rand/v2.
	Rand func() float64
}

// Follower keeps a router's settings at the highest version that it has seen.
// Its methods may be called from any goroutine.
type Follower struct {
	config  Config
	store   *Store
	current atomic.Pointer[settings.Snapshot]
	hinted  atomic.Uint64
	wake    chan struct{}
	stats   counters
	fails   int // reads that failed in a row; of the goroutine that polls

	mu      sync.Mutex // guards what follows
	holder  settings.Holder
	refused refusal
	notify  func(*settings.Snapshot)
}

// refusal is the last offer that was refused, so that it is logged, and a
// faulty one fetched, once only.
type refusal struct {
	version uint64
	digest  Digest
	verdict settings.Verdict
}

// NewFollower returns a follower that holds no settings yet.
func NewFollower(c Config) *Follower {
	setDefault(&c.Interval, DefaultInterval)
	setDefault(&c.HintSpread, DefaultHintSpread)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.PeerTimeout, DefaultPeerTimeout)
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	store := New(c.Table, c.Objects)
	store.tries = 1 // the next poll tries again
	return &Follower{
		config: c,
		store:  store,
		wake:   make(chan struct{}, 1),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Current returns the snapshot in force, nil before the first.
func (f *Follower) Current() *settings.Snapshot { return f.current.Load() }

// Ready says whether there are settings in force. A router that has none is
// not ready.
func (f *Follower) Ready() bool { return f.Current() != nil }

// Notify has fn told the snapshot in force, if there is one, and each one that
// comes in force from now on, in order. fn is called from the goroutine that
// offered it and must neither block nor call Notify or OfferPeer. One fn is
// told at a time.
func (f *Follower) Notify(fn func(*settings.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify = fn
	if s := f.holder.Current(); s != nil {
		fn(s)
	}
}

// Hint tells of a version that a peer has. A higher one than any before
// causes a read soon.
func (f *Follower) Hint(version uint64) {
	for {
		old := f.hinted.Load()
		if version <= old {
			return
		}
		if f.hinted.CompareAndSwap(old, version) {
			break
		}
	}
	if version <= f.version() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default: // a read is due already
	}
}

// OfferPeer offers a peer's copy of a version.
func (f *Follower) OfferPeer(version uint64, digest [32]byte, source []byte) settings.Verdict {
	f.stats.peerOffers.Add(1)
	return f.offer("peer", settings.Offer{Version: version, Digest: digest, Source: source})
}

// Run follows the settings until ctx ends, and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.poll(ctx)
		f.pause(ctx)
	}
	return nil
}

// pause waits until the next read is due.
func (f *Follower) pause(ctx context.Context) {
	const low, width = 0.75, 0.5 // of the interval
	if !f.sleep(ctx, f.fraction(f.config.Interval, low, width), f.wake) {
		f.sleep(ctx, f.fraction(f.config.HintSpread, 0, 1), nil)
	}
}

func (f *Follower) fraction(d time.Duration, low, width float64) time.Duration {
	return time.Duration(float64(d) * (low + width*f.config.Rand()))
}

// sleep returns false when it was woken before the time was over.
func (f *Follower) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-timer.C:
		return true
	case <-wake:
		return false
	}
}

// poll takes what the table has; and what the peers have, when this router
// has nothing or the table can't be read and a peer has a higher version.
func (f *Follower) poll(ctx context.Context) {
	if !f.Ready() {
		f.askPeers(ctx)
	}
	offer, err := f.fetch(ctx)
	if f.fails++; err == nil {
		f.fails = 0
	}
	f.noteStore(ctx, err)
	if err != nil && ctx.Err() == nil && f.hinted.Load() > f.version() {
		f.askPeers(ctx)
	}
	if offer != nil {
		f.offer("table", *offer)
	}
}

// fetch reads the head, and the text if it is of a higher version. It returns
// nil when there is nothing to offer.
func (f *Follower) fetch(ctx context.Context) (*settings.Offer, error) {
	timeout := f.config.ReadTimeout << min(f.fails, maxDoublings)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.stats.polls.Add(1)
	head, err := f.store.Head(ctx)
	if err != nil || head == nil {
		return nil, errors.Trace(err)
	}
	offer := &settings.Offer{Version: head.Version, Digest: head.Digest}
	if head.Version <= f.version() {
		return offer, nil
	}
	if f.isFaulty(head) {
		return nil, nil
	}
	offer.Source, err = f.config.Objects.Get(ctx, head.Object)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return offer, nil
}

// askPeers offers the highest version of a peer. That no peer answers is logged
// when it begins.
func (f *Follower) askPeers(ctx context.Context) {
	if f.config.Peers == nil {
		return
	}
	asked, cancel := context.WithTimeout(ctx, f.config.PeerTimeout)
	defer cancel()
	version, digest, source, err := f.config.Peers.Highest(asked)
	if err != nil {
		if !f.stats.peersMute.Swap(true) {
			events.SettingsPeersMute.Log(ctx, f.config.Log, slog.LevelInfo, "error", err)
		}
		return
	}
	f.stats.peersMute.Store(false)
	f.OfferPeer(version, digest, source)
}

func (f *Follower) version() uint64 {
	if s := f.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (f *Follower) isFaulty(r *Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused == refusal{r.Version, r.Digest, settings.Invalid}
}

// offer lets the holder decide. The lock keeps the holder, the published
// snapshot and the order of notices together.
func (f *Follower) offer(from string, o settings.Offer) settings.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict, faults := f.holder.Offer(o)
	switch verdict {
	case settings.Applied:
		f.take(from, f.holder.Current())
	case settings.DigestMismatch, settings.VersionConflict, settings.Invalid:
		f.refuse(from, o, verdict, faults)
	case settings.Older:
		f.stats.older.Add(1)
	}
	return verdict
}

// take puts a snapshot in force and tells the function of Notify. f.mu is
// held.
func (f *Follower) take(from string, s *settings.Snapshot) {
	f.stats.taken.Add(1)
	f.current.Store(s)
	events.SettingsTaken.Log(context.Background(), f.config.Log, slog.LevelInfo,
		"version", s.Version, "digest", Digest(s.Digest).String(), "from", from)
	if f.notify != nil {
		f.notify(s)
	}
}

// refuse counts a refused offer and logs it, unless it is the one refused
// last.
func (f *Follower) refuse(from string, o settings.Offer, verdict settings.Verdict, faults []settings.Fault) {
	f.stats.refused.Add(1)
	r := refusal{o.Version, o.Digest, verdict}
	if r == f.refused {
		return
	}
	f.refused = r
	args := []any{"version", o.Version, "from", from, "verdict", string(verdict)}
	if len(faults) > 0 {
		args = append(args, "faults", len(faults), "first", faults[0].Error())
	}
	events.SettingsRefused.Log(context.Background(), f.config.Log, slog.LevelError, args...)
}

// noteStore logs when the store becomes unreadable, and readable again.
func (f *Follower) noteStore(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.stats.storeErrors.Add(1)
	}
	down := err != nil
	if f.stats.storeDown.Swap(down) == down {
		return
	}
	if down {
		events.SettingsStoreDown.Log(ctx, f.config.Log, slog.LevelWarn, "error", err, "version", f.version())
		return
	}
	events.SettingsStoreBack.Log(ctx, f.config.Log, slog.LevelInfo, "version", f.version())
}
