package settingsstore

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/platform"
)

const (
	attempts  = 5 // of a write
	readTries = 3 // of a read
	firstWait = 100 * time.Millisecond
)

// Store reads and accepts versions. Its methods may be called from any
// goroutine; their errors are *platform.Error or of this package.
type Store struct {
	table   platform.Table
	objects platform.Objects
	tries   int // of a read
	now     func() time.Time
	wait    func(ctx context.Context, attempt int)
}

// New returns a store on the platform's services.
func New(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects, tries: readTries, now: time.Now, wait: backoff}
}

// backoff waits with full jitter, longer at each attempt, or until ctx ends.
func backoff(ctx context.Context, attempt int) {
	pause.For(ctx, rand.N(firstWait<<attempt))
}

// again does a read until it succeeds, its tries are used up or ctx ends.
func (s *Store) again(ctx context.Context, do func() error) error {
	for i := 1; ; i++ {
		err := do()
		if err == nil || i >= s.tries || ctx.Err() != nil {
			return err
		}
		s.wait(ctx, i)
	}
}

func (s *Store) read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var rows []platform.Row
	err := s.again(ctx, func() error {
		var err error
		rows, err = s.table.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Head returns the record in force, nil before the first version.
func (s *Store) Head(ctx context.Context) (*Record, error) {
	_, head, err := s.readHead(ctx)
	return head, err
}

func (s *Store) readHead(ctx context.Context) (platform.Row, *Record, error) {
	rows, err := s.read(ctx, headKey)
	if err != nil {
		return platform.Row{}, nil, errors.Trace(err)
	}
	head, err := decodeRecord(rows[0])
	return rows[0], head, errors.Trace(err)
}

// Record returns the record of a version.
func (s *Store) Record(ctx context.Context, version uint64) (*Record, error) {
	rows, err := s.read(ctx, versionKey(version))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r, err := decodeRecord(rows[0])
	if err != nil {
		return nil, errors.Trace(err)
	}
	if r == nil {
		return nil, &NoVersionError{Version: version}
	}
	return r, nil
}

// History returns up to limit records, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Record, error) {
	head, err := s.Head(ctx)
	if err != nil || head == nil || limit <= 0 {
		return nil, errors.Trace(err)
	}
	var keys []string
	for v := head.Version; v > 0 && len(keys) < limit; v-- {
		keys = append(keys, versionKey(v))
	}
	rows, err := s.read(ctx, keys...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out []Record
	for _, row := range rows {
		r, err := decodeRecord(row)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if r == nil {
			return nil, &CorruptError{What: row.Key}
		}
		out = append(out, *r)
	}
	return out, nil
}

// Source returns the text of a version and checks its digest.
func (s *Store) Source(ctx context.Context, r *Record) ([]byte, error) {
	var source []byte
	err := s.again(ctx, func() error {
		var err error
		source, err = s.objects.Get(ctx, r.Object)
		return err
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if sha256.Sum256(source) != r.Digest {
		return nil, &CorruptError{What: r.Object}
	}
	return source, nil
}

// Snapshot returns a version as a tree; a nil record has none.
func (s *Store) Snapshot(ctx context.Context, r *Record) (*settings.Snapshot, error) {
	if r == nil {
		return nil, nil
	}
	source, err := s.Source(ctx, r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	snap, faults := settings.Build(r.Version, source)
	if len(faults) > 0 {
		return nil, &InvalidError{Version: r.Version, Faults: faults}
	}
	return snap, nil
}

// put stores a text under its digest. That it is there already is as good.
func (s *Store) put(ctx context.Context, r *Record, source []byte) error {
	var err error
	for i := range attempts {
		err = s.objects.PutIfAbsent(ctx, r.Object, source)
		if err == nil {
			return nil
		}
		if platform.KindOf(err) == platform.KindConflict {
			_, err = s.Source(ctx, r)
			return errors.Trace(err)
		}
		s.wait(ctx, i)
	}
	return errors.Trace(err)
}
