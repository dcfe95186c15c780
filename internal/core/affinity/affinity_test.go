package affinity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestStreamIsKnownUntilItExpires(t *testing.T) {
	table := New()
	key := KeyOf("ana", "route", "attempt")
	assert.Equal(t, table.Record(key, Origin{"llm", "v1"}, 5*time.Second, start), Recorded)
	o, ttl, ok := table.Find(key, start.Add(2*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, o, Origin{"llm", "v1"})
	assert.Equal(t, ttl, 3*time.Second)
	assert.Equal(t, table.Record(key, Origin{"llm", "v1"}, 5*time.Second, start.Add(3*time.Second)), Recorded)
	_, ttl, ok = table.Find(key, start.Add(5*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, ttl, 3*time.Second)
	_, _, ok = table.Find(key, start.Add(8*time.Second))
	assert.Assert(t, !ok)
}

// No caller can name a stream of another customer or route.
func TestKeysDifferByCustomerAndRoute(t *testing.T) {
	key := KeyOf("ana", "route", "attempt")
	for _, other := range []Key{KeyOf("bea", "route", "attempt"), KeyOf("ana", "other", "attempt"), KeyOf("ana", "route", "other"),
		KeyOf("anar", "oute", "attempt"), KeyOf("", "route", "attempt")} {
		assert.Assert(t, other != key)
	}
}

// A stream that was recorded at two versions can't be resumed at either.
func TestConflictingRecordsAreNotTrusted(t *testing.T) {
	table := New()
	table.Record(1, Origin{"llm", "v1"}, time.Minute, start)
	assert.Equal(t, table.Record(1, Origin{"llm", "v2"}, time.Minute, start), Conflicting)
	_, _, ok := table.Find(1, start)
	assert.Assert(t, !ok)
	assert.Equal(t, table.Record(1, Origin{"llm", "v1"}, time.Minute, start.Add(2*time.Minute)), Recorded)
}

// A full table records no more streams until others have expired, and never exceeds its bound.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for k := range Key(maxEntries) {
		assert.Equal(t, table.Record(k, Origin{"llm", "v1"}, time.Second, start), Recorded)
	}
	assert.Equal(t, table.Record(maxEntries, Origin{"llm", "v1"}, time.Second, start), TableFull)
	assert.Equal(t, table.Record(0, Origin{"llm", "v1"}, time.Second, start), Recorded, "a known stream")
	later := start.Add(expiryInterval)
	assert.Equal(t, table.Record(maxEntries, Origin{"llm", "v1"}, time.Second, later), Recorded)
	assert.Equal(t, table.Len(), 1)
}

// Whatever the order of records and expiry, a table never reports an origin other than the one with
// which a stream was recorded, compared with a map that keeps everything.
func TestFindAgreesWithAnOracle(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		table := New()
		type record struct {
			origin  Origin
			expires time.Time
			broken  bool
		}
		oracle := map[Key]record{}
		now := start
		for range 3000 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			k := Key(rng.IntN(50))
			o := Origin{"llm", fmt.Sprintf("v%d", k%3)}
			if rng.IntN(20) == 0 {
				o.Version = "other"
			}
			ttl := time.Duration(rng.IntN(5000)) * time.Millisecond
			table.Record(k, o, ttl, now)
			known, ok := oracle[k]
			switch {
			case !ok || !now.Before(known.expires):
				oracle[k] = record{origin: o, expires: now.Add(ttl)}
			case known.origin != o:
				known.broken = true
				oracle[k] = known
			case now.Add(ttl).After(known.expires):
				known.expires = now.Add(ttl)
				oracle[k] = known
			}
			asked := Key(rng.IntN(50))
			want, ok := oracle[asked]
			got, _, found := table.Find(asked, now)
			assert.Equal(t, found, ok && !want.broken && now.Before(want.expires), "seed %d", seed)
			assert.Assert(t, !found || got == want.origin)
		}
	}
}
