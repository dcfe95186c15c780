package peers

import (
	"net/netip"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
)

// serverList is an encoded list of servers, some 35 bytes each. Names that many servers share are
// in a table, and numbers are encoded as offsets from the minimum.
type serverList struct {
	_        struct{} `cbor:",toarray"`
	Names    []string // of services, data centres and versions
	MinBorn  int64    // minimum of all, ignoring 0
	MinEntry uint64   // the same for the entry versions
	Servers  []listedServer
}

// listedServer is a server of a serverList.
type listedServer struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Addr        []byte // six bytes for an IPv4 address and port, otherwise text
	Service     int    // index in Names
	DataCentre  int    // index in Names
	Slots       int
	State       routing.ServerState
	WarmupMs    int64
	BornOffset  int64  // from MinBorn, plus 1; 0 if unknown
	EntryOffset uint64 // from MinEntry, plus 1; 0 if unknown
	Version     int    // index in Names
}

// packServers encodes servers.
func packServers(servers []routing.Server) serverList {
	l := serverList{Servers: make([]listedServer, 0, len(servers))}
	for _, s := range servers {
		if s.Born != 0 && (l.MinBorn == 0 || s.Born < l.MinBorn) {
			l.MinBorn = s.Born
		}
		if s.EntryVersion != 0 && (l.MinEntry == 0 || s.EntryVersion < l.MinEntry) {
			l.MinEntry = s.EntryVersion
		}
	}
	indexes := map[string]int{}
	index := func(name string) int {
		i, known := indexes[name]
		if !known {
			i = len(l.Names)
			indexes[name] = i
			l.Names = append(l.Names, name)
		}
		return i
	}
	for _, s := range servers {
		w := listedServer{
			ID:         s.ID,
			Addr:       packAddr(s.Addr),
			Service:    index(s.Service),
			DataCentre: index(s.DataCentre),
			Slots:      s.Slots,
			State:      s.State,
			WarmupMs:   s.Warmup.Milliseconds(),
			Version:    index(s.Version),
		}
		if s.Born != 0 {
			w.BornOffset = s.Born - l.MinBorn + 1
		}
		if s.EntryVersion != 0 {
			w.EntryOffset = s.EntryVersion - l.MinEntry + 1
		}
		l.Servers = append(l.Servers, w)
	}
	return l
}

// name returns the name at an index of the table, or "" if the index is out of range.
func (l serverList) name(i int) string {
	if i < 0 || i >= len(l.Names) {
		return ""
	}
	return l.Names[i]
}

// unpack decodes the servers.
func (l serverList) unpack() []routing.Server {
	servers := make([]routing.Server, 0, len(l.Servers))
	for _, w := range l.Servers {
		s := routing.Server{
			ID:         w.ID,
			Addr:       unpackAddr(w.Addr),
			Service:    l.name(w.Service),
			DataCentre: l.name(w.DataCentre),
			Slots:      w.Slots,
			State:      w.State,
			Warmup:     time.Duration(w.WarmupMs) * time.Millisecond,
			Version:    l.name(w.Version),
		}
		if w.BornOffset != 0 {
			s.Born = l.MinBorn + w.BornOffset - 1
		}
		if w.EntryOffset != 0 {
			s.EntryVersion = l.MinEntry + w.EntryOffset - 1
		}
		servers = append(servers, s)
	}
	return servers
}

// packedAddrLen is the length of an encoded IPv4 address with its port.
const packedAddrLen = 6

func packAddr(addr string) []byte {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().Is4() {
		return []byte(addr)
	}
	ip := parsed.Addr().As4()
	return append(ip[:], byte(parsed.Port()>>8), byte(parsed.Port()))
}

func unpackAddr(data []byte) string {
	if len(data) != packedAddrLen {
		return string(data)
	}
	ip := netip.AddrFrom4([4]byte(data[:4]))
	return netip.AddrPortFrom(ip, uint16(data[4])<<8|uint16(data[5])).String()
}

// listChange is an encoded server list, or the changes of it since From.
type listChange struct {
	_              struct{} `cbor:",toarray"`
	Full           bool
	From           roster.Stamp // for changes only
	To             roster.Stamp
	Servers        serverList
	HeldMs         map[string]int64
	Doubtful       serverList
	DoubtfulLeftMs []int64 // remaining times of the doubtful servers
	Removed        []string
	Gaps           []roster.Gap
}

// packSnapshot encodes what whole lists and changes have in common.
func (c *listChange) packSnapshot(t roster.Snapshot) {
	c.Servers = packServers(t.Servers)
	c.HeldMs = toMillis(t.Held)
	var doubtful []routing.Server
	for _, d := range t.Doubtful {
		doubtful = append(doubtful, d.Server)
		c.DoubtfulLeftMs = append(c.DoubtfulLeftMs, d.Left.Milliseconds())
	}
	c.Doubtful = packServers(doubtful)
}

// snapshot is the inverse of packSnapshot.
func (c *listChange) snapshot() roster.Snapshot {
	t := roster.Snapshot{Servers: c.Servers.unpack(), Held: fromMillis(c.HeldMs, 0)}
	for i, s := range c.Doubtful.unpack() {
		if i < len(c.DoubtfulLeftMs) {
			t.Doubtful = append(t.Doubtful, roster.Doubtful{Server: s, Left: time.Duration(c.DoubtfulLeftMs[i]) * time.Millisecond})
		}
	}
	return t
}

func packFullList(t roster.Snapshot, stamp roster.Stamp) listChange {
	c := listChange{Full: true, To: stamp}
	c.packSnapshot(t)
	return c
}

func packDelta(d roster.Delta) listChange {
	c := listChange{From: d.From, To: d.To, Removed: d.Removed, Gaps: d.Gaps}
	c.packSnapshot(d.Snapshot)
	return c
}

func (c *listChange) delta() roster.Delta {
	return roster.Delta{From: c.From, To: c.To, Snapshot: c.snapshot(), Removed: c.Removed, Gaps: c.Gaps}
}

// memberList is the encoded list of the routers of a data centre, some 20 bytes each.
type memberList struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Routers    []listedRouter
}

type listedRouter struct {
	_     struct{} `cbor:",toarray"`
	Addr  []byte
	Cores float32
}

func packMembers(dataCentre string, members []spread.Member) memberList {
	l := memberList{DataCentre: dataCentre}
	for _, m := range members {
		l.Routers = append(l.Routers, listedRouter{Addr: packAddr(m.Addr), Cores: m.Cores})
	}
	return l
}

func (l memberList) unpack() []spread.Member {
	var members []spread.Member
	for _, r := range l.Routers {
		members = append(members, spread.Member{Addr: unpackAddr(r.Addr), DataCentre: l.DataCentre, Cores: r.Cores})
	}
	return members
}
