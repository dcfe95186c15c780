package bounded_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
)

const limit = 100 << 10

func TestReadAllAtItsLimit(t *testing.T) {
	for _, size := range []int{0, 1, bounded.FreeSize - 1, bounded.FreeSize, bounded.FreeSize + 1, limit, limit + 1, 2 * limit} {
		for _, announced := range []int{-1, 0, size / 2, size, 2 * size} {
			t.Run(fmt.Sprintf("%d of %d bytes", size, announced), func(t *testing.T) {
				memory := bounded.NewBudget(limit + 1)
				reserved := bounded.Reservation{Budget: memory}
				text := strings.Repeat("b", size)
				got, err := bounded.ReadAll(iotest.HalfReader(strings.NewReader(text)), int64(announced), limit, &reserved)
				var tooLong *intake.LimitError
				assert.Equal(t, errors.As(err, &tooLong), size > limit, "%v", err)
				assert.Assert(t, size > limit || err == nil, "%v", err)
				assert.Equal(t, string(got), text[:len(got)])
				assert.Assert(t, size > limit || len(got) == size)
				assert.Assert(t, len(got) <= limit+1)
				reserved.Release()
				assert.Equal(t, memory.Used(), int64(0))
			})
		}
	}
}

// Guards against a length that is allocated before its bytes have come.
func TestReadAllAllocatesWhatArrives(t *testing.T) {
	reserved := bounded.Reservation{Budget: bounded.NewBudget(limit + 1)}
	got, err := bounded.ReadAll(strings.NewReader("ab"), limit, limit, &reserved)
	assert.NilError(t, err)
	assert.Assert(t, cap(got) <= bounded.FreeSize, "%d", cap(got))
}

// What was read before the budget was used up is returned, and no byte is lost.
func TestReadAllWithoutMemory(t *testing.T) {
	memory := bounded.NewBudget(10 << 10)
	reserved := bounded.Reservation{Budget: memory}
	source := strings.NewReader(strings.Repeat("b", limit))
	got, err := bounded.ReadAll(source, -1, limit, &reserved)
	var none *bounded.MemoryError
	assert.Assert(t, errors.As(err, &none), "%v", err)
	rest, err := io.ReadAll(source)
	assert.NilError(t, err)
	assert.Equal(t, len(got)+len(rest), limit)
	assert.Assert(t, memory.Used() <= 10<<10)
}

func TestReservationsShareABudget(t *testing.T) {
	memory := bounded.NewBudget(100)
	first, second := bounded.Reservation{Budget: memory}, bounded.Reservation{Budget: memory}
	assert.Assert(t, first.Resize(60))
	assert.Assert(t, !second.Resize(41))
	assert.Assert(t, second.Resize(40))
	assert.Assert(t, first.Resize(30))
	assert.Assert(t, second.Resize(70))
	assert.Equal(t, memory.Used(), int64(100))
	first.Release()
	second.Release()
	assert.Equal(t, memory.Used(), int64(0))
	unlimited := bounded.Reservation{}
	assert.Assert(t, unlimited.Resize(1<<40))
}
