package share

import (
	"encoding/binary"
	"sort"
)

// count is one customer's counter in a message.
type count struct {
	hash  uint64
	value int64
	slots int // of the admitters where the customer waits
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
