// Package follow keeps a router's state in step with the platform's store: the
// configuration and the list of backend servers, each read once and then
// followed by a call that waits for changes.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/platform"
)

const (
	// waitMesh is how long a call waits for a change where every router follows
	// the store. A call whose connection has died is noticed that much later,
	// and configurations are to be in force within 2 s; calls are priced.
	waitMesh = 2 * time.Second
	// waitReader is the same where a few follow it for the rest, who go by the
	// age of the readers' view.
	waitReader = 1200 * time.Millisecond
	// lateAnswer is how long after its wait an answer counts as one that an outage
	// held up: the store answers in 4 ms.
	lateAnswer = 300 * time.Millisecond
	// idlePoll is how often a router that does not follow the store looks
	// whether it has to.
	idlePoll = 100 * time.Millisecond
	// settle is about how long a router that has read a source does not yet follow it:
	// within that time it hears of the others, and in a large fleet has no call to make.
	settle = 400 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after a failed call.
	backoffLeast = 60 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
)

// Store is the platform's store as the follower uses it.
type Store interface {
	ReadConfig(ctx context.Context) (platform.Change, error)
	FollowConfig(ctx context.Context, after roster.Stamp, wait time.Duration) (platform.Change, error)
	ReadServers(ctx context.Context) (platform.Change, error)
	FollowServers(ctx context.Context, after roster.Stamp, wait time.Duration) (platform.Change, error)
	ReadBlocked(ctx context.Context) ([]poison.Record, []platform.MalformedRow, error)
	ReadRollout(ctx context.Context, service string) (platform.StoredRollout, error)
	WriteRollout(ctx context.Context, r rollout.Record, ver uint64) (uint64, error)
	WriteBlocked(ctx context.Context, write []poison.Record, remove []routing.ContentHash) ([]poison.Record, []routing.ContentHash, error)
}

// Follower follows the store.
type Follower struct {
	State *state.State
	Store Store
	Log   *slog.Logger
	Meter *meter.Meter
	// Joined returns once the first view has been sought from other routers.
	Joined func(context.Context)
	// Role says whether this router has to follow the store itself.
	Role func() Role
	// Now is the time by which answers' ages are judged.
	Now func() time.Time
	// Registers says whether this router writes into the store for others too.
	Registers func() bool
	// MissesMany says whether this router hears too few others to know what they know.
	MissesMany func() bool
	// Bounds are what a bad version of a service's servers may get.
	Bounds rollout.Bounds

	// held is the version of the configuration that the store holds; 0: it holds none, or it
	// was not read yet. Config uses it.
	held int64
}

// Role is how a router follows the store.
type Role int

// The roles.
const (
	Everyone Role = iota // every router follows it
	Reader               // this one does, for others too
	Informed             // this one is told by a reader
)

// source is one of the two tables.
type source struct {
	name   string
	read   func(context.Context) (platform.Change, error)
	follow func(context.Context, roster.Stamp, time.Duration) (platform.Change, error)
	take   func(c platform.Change, whole bool, age time.Duration) bool
	down   func()
	back   func()
	idle   func() // the source is not followed
	// held returns up to where the source is known from other routers, if it is; nil: never.
	held func() (roster.Stamp, bool)
}

// Config follows the configuration until ctx ends.
func (f *Follower) Config(ctx context.Context) error {
	return f.run(ctx, source{
		name:   "configuration",
		read:   f.Store.ReadConfig,
		follow: f.Store.FollowConfig,
		take:   f.takeConfig,
		down:   func() {},
		back:   func() {},
		idle:   func() {},
	})
}

// Servers follows the list of backend servers until ctx ends.
func (f *Follower) Servers(ctx context.Context) error {
	return f.run(ctx, source{
		name:   "backend servers",
		read:   f.readServers,
		follow: f.Store.FollowServers,
		take:   f.takeServers,
		down:   f.State.StoreDown,
		back:   f.State.StoreBack,
		idle:   f.State.StoreNotFollowed,
		held:   f.State.Listed,
	})
}

// takeConfig puts a newer configuration in force. While the store, back from a copy, holds
// an older one than that in force, its answers say nothing of whether that is the newest.
func (f *Follower) takeConfig(c platform.Change, whole bool, age time.Duration) bool {
	f.takeEvacuations(c, whole) // before the first configuration makes this router ready
	f.takeOrders(c)
	switch {
	case c.Config != nil:
		f.held = c.Config.Version
	case whole && !c.ConfigMalformed:
		f.held = 0
	case whole:
		f.held = f.State.Version() // the row is there; which version it should have is not known
	}
	if f.held >= f.State.Version() {
		f.State.Confirm(age)
	}
	if c.Config != nil && f.State.TakeConfig(c.Config, c.RawConfig) {
		events.ConfigInForce.Log(context.Background(), f.Log, slog.LevelInfo, "version", c.Config.Version, "from", "store",
			"routes", len(c.Config.Routes), "customers", len(c.Config.Customers))
	}
	return true
}

// takeEvacuations takes which data centres are evacuated, or what has changed of it.
func (f *Follower) takeEvacuations(c platform.Change, whole bool) {
	change := f.State.EvacuationsChanged(c.Evacuated, c.EndedEvacuations, whole, c.Stamp)
	change.Log(f.Log, "store", c.Stamp)
}

// takeServers takes the list or what has changed of it.
func (f *Follower) takeServers(c platform.Change, whole bool, _ time.Duration) bool {
	if whole {
		if !f.State.ServersReplaced(c.Servers, c.Stamp, false) {
			return false
		}
	} else {
		f.State.ServersChanged(c.Servers, c.Removed, c.Stamp)
	}
	for _, row := range c.Malformed {
		f.State.ServerUnusable(row.Key, c.Stamp)
	}
	for _, s := range c.Servers {
		events.ServersChanged.Log(context.Background(), f.Log, slog.LevelInfo, "server", s.ID, "service", s.Service,
			"ready", s.AcceptsRequests(), "addr", s.Addr, "born", s.Born, "era", c.Stamp.Era, "ver", c.Stamp.Version)
	}
	for _, id := range c.Removed {
		events.ServersChanged.Log(context.Background(), f.Log, slog.LevelInfo, "server", id, "gone", true, "era", c.Stamp.Era, "ver", c.Stamp.Version)
	}
	return true
}

// cursor is how far a source has been read.
type cursor struct {
	known bool         // it was read whole, and is followed
	at    roster.Stamp // what it was read up to
}

// run reads the source and follows it.
func (f *Follower) run(ctx context.Context, s source) error {
	var at cursor
	lost := false
	dropped := false // the store does not have the history that is needed
	bad := map[string]bool{}
	pause := backoffLeast
	f.Joined(ctx)
	for ctx.Err() == nil {
		role := f.Role()
		if role == Informed {
			if lost {
				lost = false
				s.back()
			}
			at.known = false
			s.idle()
			sleep(ctx, idlePoll)
			continue
		}
		if !at.known && s.held != nil && !dropped {
			// A list that another router gave is followed from its stamp on: reading it whole takes a
			// call for each 200 servers.
			at.at, at.known = s.held()
		}
		began := f.Now()
		c, err := f.next(ctx, s, role, at)
		if ctx.Err() != nil {
			break
		}
		f.takeEra(s, &at, c, err)
		if err != nil {
			if kind(err) == platform.KindHistoryDropped {
				events.StoreHistory.Log(ctx, f.Log, slog.LevelInfo, "what", s.name, "after", at.at.Version)
				at.known = false
				dropped = true // it is read whole
				sleep(ctx, backoffLeast)
				continue
			}
			s.down()
			f.Meter.StoreFailed(s.name, kind(err).String())
			if !lost {
				lost = true
				events.StoreLost.Log(ctx, f.Log, slog.LevelWarn, "what", s.name, "err", err, "after", at.at.Version)
			}
			sleep(ctx, pause)
			pause = min(pause*2, backoffMost)
			continue
		}
		if lost {
			lost = false
			events.StoreRegained.Log(ctx, f.Log, slog.LevelInfo, "what", s.name, "ver", c.Stamp.Version)
		}
		if at.known && f.Now().Sub(began) > wait(role)+lateAnswer {
			s.idle() // the store may have been away meanwhile
		}
		s.back()
		pause = backoffLeast
		f.noteBad(bad, s.name, c, !at.known)
		if at.at.After(c.Stamp) || !s.take(c, !at.known, age(c, role, at.known, f.Now().Sub(began))) {
			sleep(ctx, backoffLeast) // an old view: read again
			continue
		}
		at.at = c.Stamp
		if !at.known {
			at.known = true
			dropped = false
			sleep(ctx, settle) // until it shows whether others follow the store for this router
		}
	}
	return ctx.Err()
}

// takeEra takes the era of an answer. In a later one than the source was read in the
// versions up to which it was read mean nothing any more, and it is read whole; an answer
// of an earlier one, which came late, is older than the cursor by its stamp.
func (f *Follower) takeEra(s source, at *cursor, c platform.Change, err error) {
	era := eraOf(c, err)
	if before, returned := f.State.TakeEra(era); returned {
		events.StoreReturned.Log(context.Background(), f.Log, slog.LevelWarn, "from", "store", "what", s.name, "before", before, "era", era,
			"ver", c.Stamp.Version, "config", f.State.Version(), "servers", f.State.ServerCount())
	}
	if now := f.State.Era(); now > at.at.Era {
		at.at = roster.Stamp{Era: now}
		at.known = false
	}
}

// eraOf is the era of an answer or of an error; 0: it is not told.
func eraOf(c platform.Change, err error) uint64 {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Era
	}
	return c.Stamp.Era
}

// noteBad logs and counts the rows that have become bad. bad holds those that are: one that
// is written again and again, or is read with the whole table, is told once.
func (f *Follower) noteBad(bad map[string]bool, what string, c platform.Change, whole bool) {
	if whole {
		maps.DeleteFunc(bad, func(key string, _ bool) bool {
			return !slices.ContainsFunc(c.Malformed, func(row platform.MalformedRow) bool { return row.Key == key })
		})
	}
	for _, key := range c.Valid {
		delete(bad, key)
	}
	for _, row := range c.Malformed {
		if bad[row.Key] {
			continue
		}
		bad[row.Key] = true
		f.Meter.BadRow(what)
		events.StoreRowBad.Log(context.Background(), f.Log, slog.LevelError, "what", what, "key", row.Key, "err", row.Err)
	}
}

// next makes the next call.
func (f *Follower) next(ctx context.Context, s source, role Role, at cursor) (platform.Change, error) {
	if at.known {
		return s.follow(ctx, at.at, wait(role))
	}
	c, err := s.read(ctx)
	if err == nil && c.Stamp.Era == 0 {
		c.Stamp.Era = f.State.Era() // it is not told: the one that is known
	}
	return c, err
}

// wait is how long a call of the role waits for a change.
func wait(role Role) time.Duration {
	if role == Reader {
		return waitReader
	}
	return waitMesh
}

// age is how long ago at most the store said what an answer tells, if the call
// took so long: an answer may have waited for an overloaded host or behind a cut.
func age(c platform.Change, role Role, known bool, took time.Duration) time.Duration {
	switch {
	case !known:
		return took
	case len(c.Servers)+len(c.Removed) > 0 || c.Config != nil:
		return 0 // it tells what is new, however late
	}
	return max(0, took-wait(role))
}

// kind is the kind of the platform's error, 0 for another.
func kind(err error) platform.Kind {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// sleep waits for about d, so that routers don't call all at once.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
