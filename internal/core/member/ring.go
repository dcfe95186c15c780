package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// place is a member's place on the ring.
type place struct {
	hash uint64
	id   msg.RouterID
}

// view returns the ring of present members, self included and first. It
// renews the digest when the view has changed.
func (n *Node) view() []place {
	if n.ring != nil {
		return n.ring
	}
	ring := []place{placeOf(n.self.ID)}
	n.digest = digestOf(n.self)
	for _, id := range n.order {
		e := n.members[id]
		if !e.State.present() {
			continue
		}
		ring = append(ring, placeOf(id))
		n.digest += digestOf(e.Update) // a sum, so that order is of no matter
	}
	slices.SortFunc(ring, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	own := slices.IndexFunc(ring, func(p place) bool { return p.id == n.self.ID })
	n.ring = slices.Concat(ring[own:], ring[:own])
	return n.ring
}

func placeOf(id msg.RouterID) place {
	return place{hash: xxhash.Sum64String(string(id)), id: id}
}

// digestOf tells one incarnation and refutation of a member from another.
// States are left out: they differ for short times only.
func digestOf(u Update) uint64 {
	var text [maxName + 12]byte
	size := copy(text[:], u.ID)
	binary.BigEndian.PutUint64(text[size:], u.Incarnation)
	binary.BigEndian.PutUint32(text[size+8:], u.Refutation)
	return xxhash.Sum64(text[:size+12])
}

// successor returns the next member on the ring that is not suspect, or just
// the next one; empty when this router is alone.
func (n *Node) successor() msg.RouterID {
	others := n.view()[1:]
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

// fingers returns the members 1, 2, 4, 8, ... places behind this router.
func (n *Node) fingers() []msg.RouterID {
	ring := n.view()
	var list []msg.RouterID
	for i := 1; i < len(ring); i *= 2 {
		list = append(list, ring[i].id)
	}
	return list
}
