// Package follow keeps a router's state in step with the platform's store: it reads the
// configuration and the list of backend servers once and then follows each with long polls that
// wait for changes.
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
	// directWait is how long a call waits for a change where every router follows the store. A
	// call on a dead connection is noticed only after that time, and configurations must be in
	// force within 2 s; on the other hand each call has a price.
	directWait = 2 * time.Second
	// readerWait is the same where a few readers follow the store for the other routers, which
	// depend on the age of the readers' view.
	readerWait = 1200 * time.Millisecond
	// maxLatency is the time after the end of its wait from which an answer counts as delayed by
	// an outage: the store normally answers in 4 ms.
	maxLatency = 300 * time.Millisecond
	// roleCheckInterval is how often a router that does not follow the store checks whether it
	// has to.
	roleCheckInterval = 100 * time.Millisecond
	// settleTime is about how long a router waits after it has read a source before it follows
	// it. Meanwhile it learns about the other routers, and in a large fleet it then needs no call.
	settleTime = 400 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Store is the part of the platform's store that the follower uses.
type Store interface {
	ReadConfig(ctx context.Context) (platform.Change, error)
	FollowConfig(ctx context.Context, after roster.Stamp, wait time.Duration) (platform.Change, error)
	ReadServers(ctx context.Context) (platform.Change, error)
	FollowServers(ctx context.Context, after roster.Stamp, wait time.Duration) (platform.Change, error)
	ReadBlocked(ctx context.Context, kind poison.Kind) ([]poison.Record, []platform.MalformedRow, error)
	ReadRollout(ctx context.Context, service string) (platform.StoredRollout, error)
	WriteRollout(ctx context.Context, r rollout.Record, ver uint64) (uint64, error)
	WriteBlocked(ctx context.Context, kind poison.Kind, write []poison.Record, remove []routing.ContentHash) ([]poison.Record, []routing.ContentHash, error)
}

// Follower follows the store.
type Follower struct {
	State *state.State
	Store Store
	Log   *slog.Logger
	Meter *meter.Meter
	// AwaitJoin returns once this router has tried to get its first view from other routers.
	AwaitJoin func(context.Context)
	// Role returns whether this router has to follow the store itself.
	Role func() Role
	// Now returns the time by which the ages of answers are computed.
	Now func() time.Time
	// WritesForOthers reports whether this router writes to the store on behalf of others too.
	WritesForOthers func() bool
	// HearsTooFew reports whether this router hears from too few others to know what they know.
	HearsTooFew func() bool
	// RolloutBounds limit the traffic that a bad version of a service's servers may receive.
	RolloutBounds rollout.Bounds

	// storedVersion is the version of the configuration in the store; 0: it has none, or it has
	// not been read yet. Only Config uses it.
	storedVersion int64
}

// Role states whether a router follows the store.
type Role int

// The roles.
const (
	Direct   Role = iota // every router follows the store
	Reader               // this router follows the store, on behalf of others too
	Indirect             // this router gets changes from a reader
)

// source is one of the two tables that are followed.
type source struct {
	name   string
	read   func(context.Context) (platform.Change, error)
	follow func(context.Context, roster.Stamp, time.Duration) (platform.Change, error)
	apply  func(c platform.Change, whole bool, age time.Duration) bool
	down   func()
	up     func()
	stop   func() // the source is not followed
	// resume returns the stamp from which the source can be followed because other routers have
	// provided it up to there; nil: never.
	resume func() (roster.Stamp, bool)
}

// Config follows the configuration until ctx ends.
func (f *Follower) Config(ctx context.Context) error {
	return f.run(ctx, source{
		name:   "configuration",
		read:   f.Store.ReadConfig,
		follow: f.Store.FollowConfig,
		apply:  f.applyConfig,
		down:   func() {},
		up:     func() {},
		stop:   func() {},
	})
}

// Servers follows the list of backend servers until ctx ends.
func (f *Follower) Servers(ctx context.Context) error {
	return f.run(ctx, source{
		name:   "backend servers",
		read:   f.readServers,
		follow: f.Store.FollowServers,
		apply:  f.applyServers,
		down:   f.State.StoreDown,
		up:     f.State.StoreUp,
		stop:   f.State.StopFollowing,
		resume: f.State.ResumeStamp,
	})
}

// applyConfig puts a newer configuration in force. While the store, restored from a copy, holds an
// older configuration than the one in force, its answers don't confirm that the latter is the
// newest.
func (f *Follower) applyConfig(c platform.Change, whole bool, age time.Duration) bool {
	f.applyEvacuations(c, whole) // before the first configuration makes this router ready
	f.applyOrders(c)
	switch {
	case c.Config != nil:
		f.storedVersion = c.Config.Version
	case whole && !c.ConfigMalformed:
		f.storedVersion = 0
	case whole:
		f.storedVersion = f.State.Version() // the row exists, but its version can't be read
	}
	if f.storedVersion >= f.State.Version() {
		f.State.ConfirmConfig(age)
	}
	if c.Config != nil && f.State.ApplyConfig(c.Config, c.RawConfig) {
		events.ConfigInForce.Log(context.Background(), f.Log, slog.LevelInfo, "version", c.Config.Version, "from", "store",
			"routes", len(c.Config.Routes), "customers", len(c.Config.Customers))
	}
	return true
}

// applyEvacuations applies the set of evacuated data centres, or its changes.
func (f *Follower) applyEvacuations(c platform.Change, whole bool) {
	change := f.State.ApplyEvacuations(c.Evacuated, c.EndedEvacuations, whole, c.Stamp)
	change.Log(f.Log, "store", c.Stamp)
}

// applyServers applies the list of servers, or its changes. It reports false if the list is
// outdated.
func (f *Follower) applyServers(c platform.Change, whole bool, _ time.Duration) bool {
	if whole {
		if !f.State.ReplaceServers(c.Servers, c.Stamp, false) {
			return false
		}
	} else {
		f.State.ApplyServerChanges(c.Servers, c.Removed, c.Stamp)
	}
	for _, row := range c.Malformed {
		f.State.RemoveUnusableServer(row.Key, c.Stamp)
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

// cursor is the position up to which a source has been read.
type cursor struct {
	known bool         // the source has been read whole and is followed
	at    roster.Stamp // the position
}

// run reads the source and follows it.
func (f *Follower) run(ctx context.Context, s source) error {
	var position cursor
	lost := false
	historyMissing := false // the store no longer has the history after the position
	badRows := map[string]bool{}
	pause := minBackoff
	f.AwaitJoin(ctx)
	for ctx.Err() == nil {
		role := f.Role()
		if role == Indirect {
			if lost {
				lost = false
				s.up()
			}
			position.known = false
			s.stop()
			sleep(ctx, roleCheckInterval)
			continue
		}
		if !position.known && s.resume != nil && !historyMissing {
			// A list from another router is followed from its stamp on: reading it whole takes one
			// call for every 200 servers.
			position.at, position.known = s.resume()
		}
		began := f.Now()
		c, err := f.fetch(ctx, s, role, position)
		if ctx.Err() != nil {
			break
		}
		f.observeEra(s, &position, c, err)
		if err != nil {
			if errorKind(err) == platform.KindHistoryDropped {
				events.StoreHistory.Log(ctx, f.Log, slog.LevelInfo, "what", s.name, "after", position.at.Version)
				position.known = false
				historyMissing = true // the next read is of the whole source
				sleep(ctx, minBackoff)
				continue
			}
			s.down()
			f.Meter.StoreFailed(s.name, errorKind(err).String())
			if !lost {
				lost = true
				events.StoreLost.Log(ctx, f.Log, slog.LevelWarn, "what", s.name, "err", err, "after", position.at.Version)
			}
			sleep(ctx, pause)
			pause = min(pause*2, maxBackoff)
			continue
		}
		if lost {
			lost = false
			events.StoreRegained.Log(ctx, f.Log, slog.LevelInfo, "what", s.name, "ver", c.Stamp.Version)
		}
		if position.known && f.Now().Sub(began) > wait(role)+maxLatency {
			s.stop() // the store may have been unreachable in the meantime
		}
		s.up()
		pause = minBackoff
		f.reportBadRows(badRows, s.name, c, !position.known)
		if position.at.After(c.Stamp) || !s.apply(c, !position.known, confirmationAge(c, role, position.known, f.Now().Sub(began))) {
			sleep(ctx, minBackoff) // the answer is outdated: read again
			continue
		}
		position.at = c.Stamp
		if !position.known {
			position.known = true
			historyMissing = false
			sleep(ctx, settleTime) // until it is known whether others follow the store for this router
		}
	}
	return ctx.Err()
}

// observeEra records the era of an answer. If it is later than the one in which the source was
// read, the versions of the cursor mean nothing any more and the source is read whole. A late
// answer of an earlier era is older than the cursor by its stamp.
func (f *Follower) observeEra(s source, position *cursor, c platform.Change, err error) {
	era := eraOf(c, err)
	if before, restored := f.State.ObserveEra(era); restored {
		events.StoreReturned.Log(context.Background(), f.Log, slog.LevelWarn, "from", "store", "what", s.name, "before", before, "era", era,
			"ver", c.Stamp.Version, "config", f.State.Version(), "servers", f.State.ServerCount())
	}
	if now := f.State.Era(); now > position.at.Era {
		position.at = roster.Stamp{Era: now}
		position.known = false
	}
}

// eraOf returns the era of an answer or an error, or 0 if it has none.
func eraOf(c platform.Change, err error) uint64 {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Era
	}
	return c.Stamp.Era
}

// reportBadRows logs and counts the rows that have become bad. known holds the rows that already
// were, so that a row which is written repeatedly, or read with the whole table, is reported once.
func (f *Follower) reportBadRows(known map[string]bool, what string, c platform.Change, whole bool) {
	if whole {
		maps.DeleteFunc(known, func(key string, _ bool) bool {
			return !slices.ContainsFunc(c.Malformed, func(row platform.MalformedRow) bool { return row.Key == key })
		})
	}
	for _, key := range c.Valid {
		delete(known, key)
	}
	for _, row := range c.Malformed {
		if known[row.Key] {
			continue
		}
		known[row.Key] = true
		f.Meter.BadRow(what)
		events.StoreRowBad.Log(context.Background(), f.Log, slog.LevelError, "what", what, "key", row.Key, "err", row.Err)
	}
}

// fetch reads the source whole, or waits for its changes after a known position.
func (f *Follower) fetch(ctx context.Context, s source, role Role, position cursor) (platform.Change, error) {
	if position.known {
		return s.follow(ctx, position.at, wait(role))
	}
	c, err := s.read(ctx)
	if err == nil && c.Stamp.Era == 0 {
		c.Stamp.Era = f.State.Era() // the answer has no era: use the known one
	}
	return c, err
}

// wait returns how long a call of the role waits for a change.
func wait(role Role) time.Duration {
	if role == Reader {
		return readerWait
	}
	return directWait
}

// confirmationAge returns an upper bound on how long ago the store gave the answer of a call that
// took the given time: an answer may have been delayed by an overloaded host or a network
// partition.
func confirmationAge(c platform.Change, role Role, known bool, took time.Duration) time.Duration {
	switch {
	case !known:
		return took
	case len(c.Servers)+len(c.Removed) > 0 || c.Config != nil:
		return 0 // it carries a change, however late
	}
	return max(0, took-wait(role))
}

// errorKind returns the kind of a platform error, or 0 for any other error.
func errorKind(err error) platform.Kind {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// sleep waits for a random time around d, so that routers don't all call at once.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
