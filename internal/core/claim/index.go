package claim

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// The index lists the claims in the table, so that they can be found and deleted
// after they expire; the table itself cannot list its keys. A page lists keys
// claimed by one run of a router, grouped by the hour in which their retention
// ends, and is written in the same transaction as the claims. A manifest lists
// the writers of an hour's pages. The cursor holds the first hour that has not
// been swept.
const (
	indexPrefix = "claimindex/"
	cursorKey   = indexPrefix + "cursor"

	// manifestShards is the number of rows over which the writers of an hour are
	// spread, because all routers register for a new hour at the same time.
	manifestShards = 64
	// maxPageKeys is the number of keys from which a page counts as full. The
	// last batch added to a page may exceed it.
	maxPageKeys = 64
	// cursorLookback is how many hours before the current one a new cursor
	// starts, because hours that have not been swept remain if the cursor row
	// was lost.
	cursorLookback = 7 * 24
	hourMs         = 60 * 60 * 1000
)

// Hour is a number of hours since the Unix epoch.
type Hour int64

// HourOf returns the hour of a time in Unix ms.
func HourOf(ms int64) Hour { return Hour(ms / hourMs) }

// Start returns the start of the hour in Unix ms.
func (h Hour) Start() int64 { return int64(h) * hourMs }

// end returns the end of the hour in Unix ms.
func (h Hour) end() int64 { return (int64(h) + 1) * hourMs }

// Writer is one run of a router process.
type Writer struct {
	Router      msg.RouterID `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
}

// Page is an index row that lists claims.
type Page struct {
	Keys []Key `cbor:"1,keyasint"`
}

// Manifest is an index row that lists one shard of the writers of an hour.
type Manifest struct {
	Writers []Writer `cbor:"1,keyasint"`
}

// Cursor is the index row that records the progress of the sweep.
type Cursor struct {
	Hour Hour `cbor:"1,keyasint"` // all earlier hours have been swept
}

// StoredRow is a row of the table as it was read; an absent row has version 0.
type StoredRow struct {
	Key     string
	Value   []byte
	Version uint64
}

// Change is a write that is applied only if the row still has version IfVersion.
type Change struct {
	Key       string
	Value     []byte
	IfVersion uint64
	Delete    bool
}

// replace returns the change that replaces the row's value with v.
func (s StoredRow) replace(v any) (Change, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return Change{}, MalformedError{err}
	}
	return Change{Key: s.Key, Value: b, IfVersion: s.Version}, nil
}

// remove returns the change that deletes the row.
func (s StoredRow) remove() Change {
	return Change{Key: s.Key, IfVersion: s.Version, Delete: true}
}

// decode decodes the row's value into v. If the row is absent, v is unchanged.
func (s StoredRow) decode(v any) error {
	if s.Version == 0 {
		return nil
	}
	if err := cbor.Unmarshal(s.Value, v); err != nil {
		return MalformedError{err}
	}
	return nil
}

// pageKey returns the table key of a writer's page, numbered from 0.
func pageKey(h Hour, w Writer, page int) string {
	run := string(w.Router) + "/" + strconv.FormatUint(w.Incarnation, 36)
	return indexPrefix + strconv.FormatInt(int64(h), 10) + "/" + run + "/" + strconv.Itoa(page)
}

// manifestKey returns the table key of a shard of the hour's manifest.
func manifestKey(h Hour, shard int) string {
	return indexPrefix + strconv.FormatInt(int64(h), 10) + "/" + strconv.Itoa(shard)
}

// manifestKeys returns the table keys of all manifest shards of the hour.
func manifestKeys(h Hour) []string {
	keys := make([]string, manifestShards)
	for i := range keys {
		keys[i] = manifestKey(h, i)
	}
	return keys
}

// shard returns the manifest shard of the writer, which is the same for every
// hour.
func (w Writer) shard() int {
	return int(xxhash.Sum64String(string(w.Router)) % manifestShards)
}

// Index is the writing side of the index in one run of a router. It is not safe
// for concurrent use, because a single goroutine writes the claims of a router.
type Index struct {
	writer       Writer
	firstUnswept Hour                // all earlier hours have been swept
	hours        map[Hour]*hourState // hours that this run has used
}

// hourState is the state of the writer in one hour.
type hourState struct {
	registered bool // the manifest lists the writer
	page       int
}

// NewIndex returns the index of a run that has not written any claims.
func NewIndex(w Writer) *Index {
	return &Index{writer: w, hours: map[Hour]*hourState{}}
}

// Hour returns the hour whose pages list the claims retained until retainUntil
// (Unix ms) at the latest. If that hour has been swept, it returns a later one.
func (x *Index) Hour(retainUntil int64) Hour { return max(HourOf(retainUntil), x.firstUnswept) }

// stateOf returns the state of the writer in the hour.
func (x *Index) stateOf(h Hour) *hourState {
	if x.hours[h] == nil {
		x.hours[h] = &hourState{}
	}
	return x.hours[h]
}

// Prune drops the state of hours that have ended by now (Unix ms).
func (x *Index) Prune(now int64) {
	for h := range x.hours {
		if h.end() < now {
			delete(x.hours, h)
		}
	}
}

// PageKey returns the table key of the page to which the hour's next claims are
// added.
func (x *Index) PageKey(h Hour) string { return pageKey(h, x.writer, x.stateOf(h).page) }

// AddKeys adds claim keys to the page as it was read, or to a new page if that
// one is full. The returned change must be part of the transaction that writes
// the claims. A page that cannot be decoded is left unchanged, and a new one is
// started.
func (x *Index) AddKeys(h Hour, page StoredRow, keys []Key) (Change, error) {
	var p Page
	if page.decode(&p) != nil || len(p.Keys) >= maxPageKeys {
		x.stateOf(h).page++
		page, p = StoredRow{Key: x.PageKey(h)}, Page{}
	}
	p.Keys = append(p.Keys, keys...)
	return page.replace(p)
}

// Registered reports whether the hour's manifest is known to list the writer.
// The writer may write pages only in hours for which it is registered.
func (x *Index) Registered(h Hour) bool { return x.stateOf(h).registered }

// RegisterKeys returns the table keys of the rows that Register needs.
func (x *Index) RegisterKeys(h Hour) []string {
	return []string{cursorKey, manifestKey(h, x.writer.shard())}
}

// Register returns the changes that add the writer to the hour's manifest, given
// the rows of RegisterKeys as read at the time now (Unix ms). The changes must be
// committed together, after which the rows are read and Register is called again.
// No changes means that registration is complete: either Registered returns true,
// or the hour has already been swept and Hour returns a later one. A manifest
// that cannot be decoded is replaced by a new one, so that it does not block
// claims.
func (x *Index) Register(now int64, h Hour, rows []StoredRow) ([]Change, error) {
	cursor, m := Cursor{Hour: min(h, HourOf(now)) - cursorLookback}, Manifest{}
	if rows[0].decode(&cursor) == nil && cursor.Hour > h {
		x.firstUnswept = cursor.Hour
		return nil, nil
	}
	if rows[1].decode(&m) != nil {
		m = Manifest{}
	}
	if slices.Contains(m.Writers, x.writer) {
		x.stateOf(h).registered = true
		return nil, nil
	}
	m.Writers = append(m.Writers, x.writer)
	registration, err := rows[1].replace(m)
	if err != nil || rows[0].Version != 0 {
		return []Change{registration}, err
	}
	newCursor, err := rows[0].replace(cursor)
	return []Change{registration, newCursor}, err
}

// SweeperOf returns the router that sweeps the hour, chosen among the live ones
// by rendezvous hashing. It returns "" if there is none.
func SweeperOf(h Hour, live []msg.RouterID) msg.RouterID {
	var best msg.RouterID
	var bestScore uint64
	for _, id := range live {
		data := binary.BigEndian.AppendUint64([]byte(id), uint64(h))
		score := xxhash.Sum64(data)
		if best == "" || score > bestScore || score == bestScore && id < best {
			best, bestScore = id, score
		}
	}
	return best
}
