package share

import (
	"encoding/binary"
	"sort"

	"github.com/windscale/windscale/internal/core/msg"
)

// count is one customer's counter in a message.
type count struct {
	hash  uint64
	value int64
	slots int // of the admitters where the customer waits
}

// Counters and slots in totals are sent in units in which the greatest has
// two bytes and one: the error is below a thousandth of the largest
// difference, and does not add up.
const (
	maxCounter = 1<<13 - 1
	maxSlots   = 1<<7 - 1
)

// packTotals writes the pool's totals, relative to its floor.
func packTotals(pool msg.PoolID, floor int64, list []count) PoolCount {
	pc := PoolCount{Pool: pool, Floor: floor, Unit: 1, Slots: 1}
	for _, c := range list {
		pc.Unit = max(pc.Unit, (max(c.value, -c.value)+maxCounter-1)/maxCounter)
		pc.Slots = max(pc.Slots, (c.slots+maxSlots-1)/maxSlots)
	}
	for i := range list {
		list[i].value /= pc.Unit
		list[i].slots = (list[i].slots + pc.Slots - 1) / pc.Slots
	}
	pc.Data = pack(list)
	return pc
}

// totals reads what packTotals wrote.
func (pc PoolCount) totals() []count {
	list := unpack(pc.Data)
	for i := range list {
		list[i].value = pc.Floor + list[i].value*max(1, pc.Unit)
		list[i].slots *= max(1, pc.Slots)
	}
	return list
}

// pack writes the counts in the order of their hashes, each hash as the
// difference to the one before.
func pack(list []count) []byte {
	sort.Slice(list, func(i, j int) bool { return list[i].hash < list[j].hash })
	var b []byte
	var last uint64
	for _, c := range list {
		b = binary.AppendUvarint(b, c.hash-last)
		b = binary.AppendVarint(b, c.value)
		b = binary.AppendUvarint(b, uint64(c.slots))
		last = c.hash
	}
	return b
}

// unpack reads what pack wrote, as far as it is well-formed.
func unpack(b []byte) []count {
	var list []count
	var last uint64
	for len(b) > 0 {
		hash, n := binary.Uvarint(b)
		if n <= 0 {
			return list
		}
		value, k := binary.Varint(b[n:])
		if k <= 0 {
			return list
		}
		slots, l := binary.Uvarint(b[n+k:])
		if l <= 0 {
			return list
		}
		last += hash
		list = append(list, count{hash: last, value: value, slots: int(slots)})
		b = b[n+k+l:]
	}
	return list
}
