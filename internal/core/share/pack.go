package share

import (
	"encoding/binary"
	"sort"

	"github.com/windscale/windscale/internal/core/msg"
)

// counterValue is a customer's counter in a message.
type counterValue struct {
	hash  uint64
	value int64
	slots int // of all admitters where the customer waits
}

// Counters and slots in totals are scaled so that the largest is encoded in two
// bytes and in one byte. The rounding error is below a thousandth of the
// largest difference, and does not accumulate.
const (
	maxPackedCounter = 1<<13 - 1
	maxPackedSlots   = 1<<7 - 1
)

// packTotals encodes the pool's totals, relative to its floor.
func packTotals(pool msg.PoolID, floor int64, list []counterValue) PoolCounters {
	pc := PoolCounters{Pool: pool, Floor: floor, CounterUnit: 1, SlotUnit: 1}
	for _, c := range list {
		pc.CounterUnit = max(pc.CounterUnit, (max(c.value, -c.value)+maxPackedCounter-1)/maxPackedCounter)
		pc.SlotUnit = max(pc.SlotUnit, (c.slots+maxPackedSlots-1)/maxPackedSlots)
	}
	for i := range list {
		list[i].value /= pc.CounterUnit
		list[i].slots = (list[i].slots + pc.SlotUnit - 1) / pc.SlotUnit
	}
	pc.PackedCounters = pack(list)
	return pc
}

// totals decodes the result of packTotals.
func (pc PoolCounters) totals() []counterValue {
	list := unpack(pc.PackedCounters)
	for i := range list {
		list[i].value = pc.Floor + list[i].value*max(1, pc.CounterUnit)
		list[i].slots *= max(1, pc.SlotUnit)
	}
	return list
}

// pack encodes the counters in the order of their hashes, each hash as the
// difference from the previous one.
func pack(list []counterValue) []byte {
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

// unpack decodes the result of pack, up to the first malformed counter.
func unpack(b []byte) []counterValue {
	var list []counterValue
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
		list = append(list, counterValue{hash: last, value: value, slots: int(slots)})
		b = b[n+k+l:]
	}
	return list
}
