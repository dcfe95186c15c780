package upstream

import (
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
)

// Events that arrive byte by byte are reassembled.
func TestEventsSplitAcrossReads(t *testing.T) {
	e := newEventReader(iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\n\n")), nil, time.Now)
	ev, err := e.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(ev.Raw), "id: 1\ndata: a\n\n")
	ev, err = e.Next()
	assert.NilError(t, err)
	assert.Equal(t, ev.ID, "2")
	_, err = e.Next()
	assert.Equal(t, err, io.EOF)
}

// Guards against an event without end, with one line or many, that is held in memory.
func TestEventWithoutEndIsAnError(t *testing.T) {
	for _, unit := range []string{"data", "data: a\n"} {
		used := int64(math.MaxInt64)
		for range 5 { // what goroutines of other tests allocate meanwhile counts too
			source := &countingReader{r: strings.NewReader("id: 1\n\n" + strings.Repeat(unit, maxEventSize))}
			e := newEventReader(source, bounded.NewBudget(maxEventSize), time.Now)
			_, err := e.Next()
			assert.NilError(t, err)
			used = min(used, allocated(func() { _, err = e.Next() }))
			var limit *intake.LimitError
			assert.Assert(t, errors.As(err, &limit), "%v", err)
			assert.Equal(t, limit.Bound, intake.BoundEvent)
			assert.Assert(t, source.n <= maxEventSize+2*eventBufferSize, "read %d bytes", source.n)
		}
		assert.Assert(t, used < 2*maxEventSize, "allocated %d", used)
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}

// The memory of a long event is given back with the next event. Events beyond the budget are an error.
func TestLongEventsShareTheirMemory(t *testing.T) {
	const size = 20 << 10
	long := "data: " + strings.Repeat("a", size) + "\n\n"
	memory := bounded.NewBudget(3 * size)
	first := newEventReader(strings.NewReader(long+"id: 2\n\n"), memory, time.Now)
	ev, err := first.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(ev.Raw), long)
	assert.Assert(t, memory.Used() >= size)
	second := newEventReader(strings.NewReader(long), memory, time.Now)
	_, err = second.Next()
	var none *bounded.MemoryError
	assert.Assert(t, errors.As(err, &none), "%v", err)
	second.Release()
	ev, err = first.Next()
	assert.NilError(t, err)
	assert.Equal(t, ev.ID, "2")
	assert.Equal(t, memory.Used(), int64(0))
}

// Guards against a server that holds a place by sending an event byte by byte. Whole events may come as
// slowly as they like, and a pause within one counts little.
func TestTricklingEventIsAnError(t *testing.T) {
	var now time.Time
	trickle := func(pause time.Duration) io.Reader {
		return readerFunc(func(b []byte) (int, error) {
			now = now.Add(pause)
			b[0] = 'a'
			return 1, nil
		})
	}
	clock := func() time.Time { return now }
	begin := now
	_, err := newEventReader(trickle(100*time.Millisecond), nil, clock).Next()
	var limit *intake.LimitError
	assert.Assert(t, errors.As(err, &limit), "%v", err)
	assert.Equal(t, limit.Bound, intake.BoundArrival)
	assert.Assert(t, now.Sub(begin) < intake.MaxArrival+time.Second, "%s", now.Sub(begin))

	whole := "id: 1\ndata: a\n\n"
	var sent int
	events := newEventReader(readerFunc(func(b []byte) (int, error) {
		now = now.Add(20 * time.Second)
		sent++
		return copy(b, whole), nil
	}), nil, clock)
	for range 10 {
		_, err := events.Next()
		assert.NilError(t, err)
	}
	assert.Equal(t, sent, 10)
}

type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
