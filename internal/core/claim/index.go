package claim

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// The index names the claims in the table, so that they can be found and
// deleted once they are over: the table itself lists no keys. A page names the
// keys that one run of a router took, by the hour until which they are kept; it
// is written in the transaction that takes them. A manifest names the writers of
// an hour's pages. The cursor is the first hour that is not yet swept.
const (
	indexPrefix = "claimindex/"
	cursorKey   = indexPrefix + "cursor"

	// manifestShards is the number of rows over which an hour's writers are
	// spread: all routers come to a new hour at the same time.
	manifestShards = 64
	// pageKeys is how many keys a page has when the next one is begun. Its last
	// batch may bring it above.
	pageKeys = 64
	// lookBack is how many hours before its writing a new cursor begins: if the
	// row was lost, older hours still wait.
	lookBack = 7 * 24
	hourMs   = 60 * 60 * 1000
)

// Hour counts the hours since 1970, UTC.
type Hour int64

// HourOf returns the hour of a time in Unix ms.
func HourOf(ms int64) Hour { return Hour(ms / hourMs) }

// Start is when the hour begins, Unix ms.
func (h Hour) Start() int64 { return int64(h) * hourMs }

// end is when the hour is over, Unix ms.
func (h Hour) end() int64 { return (int64(h) + 1) * hourMs }

// Writer is one run of a router process.
type Writer struct {
	Router      msg.RouterID `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
}

// Page is a row of the index.
type Page struct {
	Keys []Key `cbor:"1,keyasint"`
}

// Manifest is one shard of an hour's writers.
type Manifest struct {
	Writers []Writer `cbor:"1,keyasint"`
}

// Cursor is the row that says how far the index is swept.
type Cursor struct {
	Hour Hour `cbor:"1,keyasint"` // all before are swept
}

// Stored is a row of the table as it was read; an absent row has version 0.
type Stored struct {
	Key     string
	Value   []byte
	Version uint64
}

// Change is a write that holds only if the row still has the version.
type Change struct {
	Key       string
	Value     []byte
	IfVersion uint64
	Delete    bool
}

// replace returns the change that puts v in the place of a row.
func (s Stored) replace(v any) (Change, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return Change{}, Malformed{err}
	}
	return Change{Key: s.Key, Value: b, IfVersion: s.Version}, nil
}

// remove returns the change that deletes a row.
func (s Stored) remove() Change {
	return Change{Key: s.Key, IfVersion: s.Version, Delete: true}
}

// decode reads the row's value into v, and leaves v as it is if there is none.
func (s Stored) decode(v any) error {
	if s.Version == 0 {
		return nil
	}
	if err := cbor.Unmarshal(s.Value, v); err != nil {
		return Malformed{err}
	}
	return nil
}

func pageKey(h Hour, w Writer, page int) string {
	run := string(w.Router) + "/" + strconv.FormatUint(w.Incarnation, 36)
	return indexPrefix + strconv.FormatInt(int64(h), 10) + "/" + run + "/" + strconv.Itoa(page)
}

func manifestKey(h Hour, shard int) string {
	return indexPrefix + strconv.FormatInt(int64(h), 10) + "/" + strconv.Itoa(shard)
}

// manifestKeys are those of all shards of an hour.
func manifestKeys(h Hour) []string {
	keys := make([]string, manifestShards)
	for i := range keys {
		keys[i] = manifestKey(h, i)
	}
	return keys
}

// shard is where a router is named in each hour.
func (w Writer) shard() int {
	return int(xxhash.Sum64String(string(w.Router)) % manifestShards)
}

// Index is the writing side of the index in one run of a router. It is not safe
// for concurrent use: one goroutine writes the claims.
type Index struct {
	writer Writer
	floor  Hour               // hours before it are swept
	hours  map[Hour]*openHour // that this run has written in
}

// openHour is where a writer is in an hour.
type openHour struct {
	registered bool // the manifest names the writer
	page       int
}

// NewIndex returns the index of a run that has written nothing yet.
func NewIndex(w Writer) *Index {
	return &Index{writer: w, hours: map[Hour]*openHour{}}
}

// Hour returns the hour in whose pages claims are named that are kept until keep
// (Unix ms) at the most.
func (x *Index) Hour(keep int64) Hour { return max(HourOf(keep), x.floor) }

func (x *Index) at(h Hour) *openHour {
	if x.hours[h] == nil {
		x.hours[h] = &openHour{}
	}
	return x.hours[h]
}

// Forget drops what is held of hours that are over, now (Unix ms).
func (x *Index) Forget(now int64) {
	for h := range x.hours {
		if h.end() < now {
			delete(x.hours, h)
		}
	}
}

// PageKey returns the table key of the page that the hour's next claims go to.
func (x *Index) PageKey(h Hour) string { return pageKey(h, x.writer, x.at(h).page) }

// Name adds claims to the page as it was read, or to a new one if that is full.
// The change must be part of the transaction that takes them. A page that can't
// be read is left as it is.
func (x *Index) Name(h Hour, page Stored, keys []Key) (Change, error) {
	var p Page
	if page.decode(&p) != nil || len(p.Keys) >= pageKeys {
		x.at(h).page++
		page, p = Stored{Key: x.PageKey(h)}, Page{}
	}
	p.Keys = append(p.Keys, keys...)
	return page.replace(p)
}

// Registered reports whether the hour's manifest is known to name the writer.
// Only then may its pages be written.
func (x *Index) Registered(h Hour) bool { return x.at(h).registered }

// RegisterKeys returns the table keys that Register has to see.
func (x *Index) RegisterKeys(h Hour) []string {
	return []string{cursorKey, manifestKey(h, x.writer.shard())}
}

// Register decides, now (Unix ms), how the writer gets into the hour's manifest,
// in view of the rows of RegisterKeys. Without changes it is settled: either
// Registered says yes, or the hour was swept already and Hour names a later one.
// Changes are to be committed together, and the rows read again after. Rows that
// can't be read stop no claim: a manifest is begun anew.
func (x *Index) Register(now int64, h Hour, rows []Stored) ([]Change, error) {
	cursor, m := Cursor{Hour: min(h, HourOf(now)) - lookBack}, Manifest{}
	if rows[0].decode(&cursor) == nil && cursor.Hour > h {
		x.floor = cursor.Hour
		return nil, nil
	}
	if rows[1].decode(&m) != nil {
		m = Manifest{}
	}
	if slices.Contains(m.Writers, x.writer) {
		x.at(h).registered = true
		return nil, nil
	}
	m.Writers = append(m.Writers, x.writer)
	named, err := rows[1].replace(m)
	if err != nil || rows[0].Version != 0 {
		return []Change{named}, err
	}
	begun, err := rows[0].replace(cursor)
	return []Change{named, begun}, err
}

// SweeperOf returns the router that sweeps an hour: of the live ones the one
// with the highest hash of both (rendezvous hashing).
func SweeperOf(h Hour, live []msg.RouterID) msg.RouterID {
	var best msg.RouterID
	var high uint64
	for _, id := range live {
		text := binary.BigEndian.AppendUint64([]byte(id), uint64(h))
		v := xxhash.Sum64(text)
		if best == "" || v > high || v == high && id < best {
			best, high = id, v
		}
	}
	return best
}
