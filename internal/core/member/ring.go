package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// ringEntry is the position of a member on the ring.
type ringEntry struct {
	hash uint64
	id   msg.RouterID
}

// currentRing returns the ring of present members, starting with this router.
// It rebuilds the ring and the digest if the view has changed.
func (n *Node) currentRing() []ringEntry {
	if n.ring != nil {
		return n.ring
	}
	ring := []ringEntry{newRingEntry(n.self.ID)}
	n.digest = digestOf(n.self)
	for _, id := range n.order {
		e := n.members[id]
		if !e.State.present() {
			continue
		}
		ring = append(ring, newRingEntry(id))
		n.digest += digestOf(e.Update) // a sum does not depend on the order
	}
	slices.SortFunc(ring, func(a, b ringEntry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	selfIndex := slices.IndexFunc(ring, func(p ringEntry) bool { return p.id == n.self.ID })
	n.ring = slices.Concat(ring[selfIndex:], ring[:selfIndex])
	return n.ring
}

func newRingEntry(id msg.RouterID) ringEntry {
	return ringEntry{hash: xxhash.Sum64String(string(id)), id: id}
}

// digestOf hashes the ID, incarnation and refutation number of a member. The
// state is left out, because views differ in it only for short times.
func digestOf(u Update) uint64 {
	var key [maxNameLen + 12]byte
	size := copy(key[:], u.ID)
	binary.BigEndian.PutUint64(key[size:], u.Incarnation)
	binary.BigEndian.PutUint32(key[size+8:], u.Refutation)
	return xxhash.Sum64(key[:size+12])
}

// successor returns the next member on the ring that is not suspect, or the
// next one if all are. It returns "" if this router is alone.
func (n *Node) successor() msg.RouterID {
	others := n.currentRing()[1:]
	for _, p := range others {
		if n.members[p.id].State != Suspect {
			return p.id
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[0].id
}

// fingers returns the members 1, 2, 4, 8, ... positions after this router.
func (n *Node) fingers() []msg.RouterID {
	ring := n.currentRing()
	var list []msg.RouterID
	for i := 1; i < len(ring); i *= 2 {
		list = append(list, ring[i].id)
	}
	return list
}
