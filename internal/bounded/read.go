package bounded

import (
	"io"

	"github.com/windscale/windscale/internal/core/intake"
)

// FreeSize is the size up to which a message needs no part of a budget: the number of exchanges bounds
// the sum of these.
const FreeSize = 4 << 10

// firstSize is the size of the buffer for a message without a length.
const firstSize = 1 << 10

// ReadAll reads to the end of r and returns what it has read, also with an error. length is the announced
// length, from which the buffer is sized once bytes have arrived; -1: unknown. The error is a
// *intake.LimitError if there are more than limit bytes, or a *MemoryError if the reservation, which the
// caller releases, can't grow to the size of the buffer.
func ReadAll(r io.Reader, length, limit int64, reserved *Reservation) ([]byte, error) {
	size := int64(firstSize)
	if length >= 0 {
		size = min(length+1, FreeSize)
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			grown, err := grow(buf, length, limit, reserved)
			if err != nil {
				return buf, err
			}
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) > limit {
			return buf, &intake.LimitError{Bound: intake.BoundBody, Limit: limit}
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// grow returns a larger copy of a full buffer: of the announced length if that is within the limit.
func grow(buf []byte, length, limit int64, reserved *Reservation) ([]byte, error) {
	size := min(2*int64(cap(buf)), limit+1)
	if length >= int64(cap(buf)) && length <= limit {
		size = length + 1
	}
	if !reserved.Resize(size) {
		return nil, &MemoryError{}
	}
	return append(make([]byte, 0, size), buf...), nil
}
