package settingsstore

import "sync/atomic"

type counters struct {
	polls, storeErrors, taken, refused, older, peerOffers atomic.Uint64
	storeDown, peersMute                                  atomic.Bool
}

// Stats counts what a Follower did since it was made.
type Stats struct {
	Polls       uint64 // reads of the head row
	StoreErrors uint64 // polls that failed
	Taken       uint64 // versions that came in force
	Refused     uint64 // offers with a false digest, diverging or faulty
	Older       uint64 // offers of a lower version than the one in force
	PeerOffers  uint64 // peers' copies, whatever came of them
	StoreDown   bool   // the last poll failed
}

// Stats returns the counters. It may be called from any goroutine.
func (f *Follower) Stats() Stats {
	c := &f.stats
	return Stats{
		Polls:       c.polls.Load(),
		StoreErrors: c.storeErrors.Load(),
		Taken:       c.taken.Load(),
		Refused:     c.refused.Load(),
		Older:       c.older.Load(),
		PeerOffers:  c.peerOffers.Load(),
		StoreDown:   c.storeDown.Load(),
	}
}
