package poison

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// maxFollowedStarts bounds the number of starts of one server that are distinguished while the
// platform's list shows no new start.
const maxFollowedStarts = 8

// startKey returns the key of the server start that crashed. While the platform's list is not
// updated, a restarted server keeps its previous key. The crash belongs to a new start if the
// request was sent after the known crash and the server has answered since then. If the server has
// merely accepted the connection of the request, the new start is unconfirmed: something in front of
// the server may have accepted it.
func (t *Table) startKey(crash Crash) routing.ServerKey {
	key := crash.Server
	if !t.crashedBefore(key, crash.Sent) {
		return key
	}
	for range maxFollowedStarts {
		next, known := t.nextCrashedStart(key)
		switch {
		case known && t.crashedBefore(next, crash.Sent):
			key = next
		case known:
			return next
		case crash.LastAnswered.Sub(t.crashedAt[key]) >= coincidenceWindow:
			return key.NextStart()
		case crash.Accepted && crash.Sent.Sub(t.crashedAt[key]) >= coincidenceWindow:
			return key.UnconfirmedStart()
		default:
			return key
		}
	}
	return key
}

// crashedBefore reports whether the server start is known to have crashed before the given time.
func (t *Table) crashedBefore(key routing.ServerKey, before time.Time) bool {
	at, known := t.crashedAt[key]
	return known && before.After(at)
}

// nextCrashedStart returns the start that follows the given one if it is known to have crashed. If
// routers disagree whether that start is confirmed, it returns the one with the later crash.
func (t *Table) nextCrashedStart(key routing.ServerKey) (next routing.ServerKey, known bool) {
	next, other := key.NextStart(), key.UnconfirmedStart()
	at, known := t.crashedAt[next]
	if otherAt, otherKnown := t.crashedAt[other]; otherKnown && (!known || otherAt.After(at)) {
		return other, true
	}
	return next, known
}

// confirmedCrashes returns the counted crashes of the content whose server start has been confirmed
// by any router.
func (t *Table) confirmedCrashes(r *record) (list []Crash) {
	for _, crash := range r.counted {
		at, known := t.crashedAt[crash.Server.Confirmed()]
		elsewhere := known && coincident(crash.At, at)
		after := func(first Crash) bool { return unconfirmedAfter(first.Server, crash.Server) }
		if elsewhere || !slices.ContainsFunc(r.crashes, after) {
			list = append(list, crash)
		}
	}
	return list
}

// sameStart reports whether both values describe the same crash, identified by the confirmed key of
// the start in one and by its unconfirmed key in the other.
func (crash Crash) sameStart(other Crash) bool {
	return (crash.Server.Confirmed() == other.Server || other.Server.Confirmed() == crash.Server) && coincident(crash.At, other.At)
}

// unconfirmedAfter reports whether key identifies an unconfirmed start that follows first.
func unconfirmedAfter(first, key routing.ServerKey) bool {
	for range maxFollowedStarts {
		if first = first.UnconfirmedStart(); first == key {
			return true
		}
	}
	return false
}
