package settingsstore

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/platform"
)

// Edit is a text that an operator wants in force.
type Edit struct {
	ID         string // NewEditID; the same again when an unsettled edit is tried again
	Base       uint64 // the version that the editor started from, 0 before the first
	Source     []byte
	Editor     string
	Note       string
	RollbackOf uint64 // the version whose text Source is, 0: a new text
	RemoveLive bool   // customers with live keys may be removed
}

// Accepted is the outcome of an accepted edit.
type Accepted struct {
	Record    Record
	Unchanged bool // the text was in force already; no version was added
}

// NewEditID returns an ID for an edit.
func NewEditID() string { return rand.Text() }

// Accept puts the edit in force as version Base+1. After *ConflictError,
// *InvalidError or *platform.Error the edit is not in force; after
// *UnsettledError it may be.
func (s *Store) Accept(ctx context.Context, e Edit) (Accepted, error) {
	next, faults := settings.Build(e.Base+1, e.Source)
	if len(faults) > 0 {
		return Accepted{}, &InvalidError{Faults: faults}
	}
	row, head, err := s.readHead(ctx)
	if err != nil {
		return Accepted{}, errors.Trace(err)
	}
	if versionOf(head) != e.Base {
		return s.overtaken(ctx, e, next, head)
	}
	if head != nil && head.Digest == next.Digest {
		return Accepted{Record: *head, Unchanged: true}, nil
	}
	if err := s.checkChange(ctx, e, head, next); err != nil {
		return Accepted{}, errors.Trace(err)
	}
	rec := s.record(e, next)
	if err := s.put(ctx, &rec, e.Source); err != nil {
		return Accepted{}, errors.Annotate(err, "store the text")
	}
	return s.commit(ctx, e, next, row, rec)
}

// checkChange refuses to remove customers with live keys, unless the edit
// allows it.
func (s *Store) checkChange(ctx context.Context, e Edit, head *Record, next *settings.Snapshot) error {
	if e.RemoveLive {
		return nil
	}
	prev, err := s.Snapshot(ctx, head)
	if err != nil {
		return errors.Annotate(err, "read the version in force")
	}
	if faults := settings.CheckChange(prev, next); len(faults) > 0 {
		return &InvalidError{Faults: faults}
	}
	return nil
}

// Rollback puts the text of an earlier version in force again, as a new
// version.
func (s *Store) Rollback(ctx context.Context, to uint64, e Edit) (Accepted, error) {
	r, err := s.Record(ctx, to)
	if err != nil {
		return Accepted{}, errors.Trace(err)
	}
	e.RollbackOf = to
	e.Source, err = s.Source(ctx, r)
	if err != nil {
		return Accepted{}, errors.Trace(err)
	}
	return s.Accept(ctx, e)
}

func versionOf(r *Record) uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}

func (s *Store) record(e Edit, next *settings.Snapshot) Record {
	return Record{
		Version:    next.Version,
		Digest:     next.Digest,
		EditID:     e.ID,
		Object:     objectKey(next.Digest),
		Editor:     e.Editor,
		Note:       e.Note,
		RollbackOf: e.RollbackOf,
		Time:       s.now().UTC(),
	}
}

// commit writes head and history. The head row's version makes each try
// conditional on the same state, so that tries whose replies were lost can't
// take effect twice, however late they arrive.
func (s *Store) commit(ctx context.Context, e Edit, next *settings.Snapshot, head platform.Row, rec Record) (Accepted, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return Accepted{}, errors.Trace(err)
	}
	writes := []platform.Write{
		{Key: headKey, Value: value, IfVersion: head.Version},
		{Key: versionKey(rec.Version), Value: value},
	}
	lost := false // a try may have taken effect
	for i := range attempts {
		err = s.table.Commit(ctx, writes...)
		if err == nil {
			return Accepted{Record: rec}, nil
		}
		lost = lost || platform.KindOf(err) != platform.KindUnavailable
		if lost {
			done, settled, serr := s.settle(ctx, e, next)
			if settled {
				return done, serr
			}
		}
		s.wait(ctx, i)
	}
	if lost {
		return Accepted{}, &UnsettledError{EditID: e.ID, Err: err}
	}
	return Accepted{}, errors.Trace(err)
}

// settle finds out what became of the edit after a lost reply or a failed
// condition: whose the version's row is. While there is none, or the table
// can't be read, the edit is not settled.
func (s *Store) settle(ctx context.Context, e Edit, next *settings.Snapshot) (Accepted, bool, error) {
	rows, err := s.table.Read(ctx, headKey, versionKey(next.Version))
	if err != nil {
		return Accepted{}, false, nil
	}
	head, err := decodeRecord(rows[0])
	if err != nil {
		return Accepted{}, true, errors.Trace(err)
	}
	if versionOf(head) < next.Version {
		return Accepted{}, false, nil
	}
	done, err := s.compare(ctx, e, next, head, rows[1])
	return done, true, err
}

// overtaken says what an edit is whose base is not the head: an earlier try
// of itself that was accepted, or a conflict.
func (s *Store) overtaken(ctx context.Context, e Edit, next *settings.Snapshot, head *Record) (Accepted, error) {
	if versionOf(head) < e.Base {
		return Accepted{}, &NoVersionError{Version: e.Base}
	}
	rows, err := s.read(ctx, versionKey(next.Version))
	if err != nil {
		return Accepted{}, errors.Trace(err)
	}
	return s.compare(ctx, e, next, head, rows[0])
}

// compare says whether the version's row is this edit's, accepted by an
// earlier try, or another's.
func (s *Store) compare(ctx context.Context, e Edit, next *settings.Snapshot, head *Record, row platform.Row) (Accepted, error) {
	won, err := decodeRecord(row)
	if err != nil {
		return Accepted{}, errors.Trace(err)
	}
	if won == nil {
		return Accepted{}, &CorruptError{What: row.Key}
	}
	if won.EditID == e.ID && bytes.Equal(won.Digest[:], next.Digest[:]) {
		return Accepted{Record: *won}, nil
	}
	return Accepted{}, s.conflict(ctx, e, next, head)
}

// conflict returns the ConflictError, with the changes if they can be read.
func (s *Store) conflict(ctx context.Context, e Edit, next *settings.Snapshot, head *Record) error {
	c := &ConflictError{Base: e.Base, Won: *head}
	won, err := s.Snapshot(ctx, head)
	if err != nil {
		c.DiffErr = err
		return c
	}
	c.Against = settings.Diff(won, next)
	base, err := s.base(ctx, e.Base)
	if err != nil {
		c.DiffErr = err
		return c
	}
	c.Theirs = settings.Diff(base, won)
	return c
}

func (s *Store) base(ctx context.Context, version uint64) (*settings.Snapshot, error) {
	if version == 0 {
		return nil, nil
	}
	r, err := s.Record(ctx, version)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return s.Snapshot(ctx, r)
}
