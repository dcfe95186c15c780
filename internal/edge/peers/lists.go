package peers

import (
	"net/netip"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
)

// serverList is a list of servers on its way, some 35 bytes for each: names that many servers
// share stand in a table, and numbers are told by what they lie above the least.
type serverList struct {
	_       struct{} `cbor:",toarray"`
	Names   []string // of services, data centres and versions
	Born    int64    // the least of all, but for 0
	Entry   uint64
	Servers []listedServer
}

// listedServer is one of its servers.
type listedServer struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Addr       []byte // of IPv4 and port, six bytes; else as text
	Service    int    // in Names
	DataCentre int
	Slots      int
	State      routing.ServerState
	WarmupMs   int64
	Born       int64  // above the least, plus 1; 0: not told
	Entry      uint64 // the same
	Version    int    // in Names
}

// packServers puts servers into a list.
func packServers(servers []routing.Server) serverList {
	l := serverList{Servers: make([]listedServer, 0, len(servers))}
	for _, s := range servers {
		if s.Born != 0 && (l.Born == 0 || s.Born < l.Born) {
			l.Born = s.Born
		}
		if s.EntryVersion != 0 && (l.Entry == 0 || s.EntryVersion < l.Entry) {
			l.Entry = s.EntryVersion
		}
	}
	places := map[string]int{}
	place := func(name string) int {
		at, known := places[name]
		if !known {
			at = len(l.Names)
			places[name] = at
			l.Names = append(l.Names, name)
		}
		return at
	}
	for _, s := range servers {
		w := listedServer{
			ID:         s.ID,
			Addr:       packAddr(s.Addr),
			Service:    place(s.Service),
			DataCentre: place(s.DataCentre),
			Slots:      s.Slots,
			State:      s.State,
			WarmupMs:   s.Warmup.Milliseconds(),
			Version:    place(s.Version),
		}
		if s.Born != 0 {
			w.Born = s.Born - l.Born + 1
		}
		if s.EntryVersion != 0 {
			w.Entry = s.EntryVersion - l.Entry + 1
		}
		l.Servers = append(l.Servers, w)
	}
	return l
}

// name returns the name at a place of the table; one that is not there is none.
func (l serverList) name(at int) string {
	if at < 0 || at >= len(l.Names) {
		return ""
	}
	return l.Names[at]
}

// unpack returns the servers of the list.
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
		if w.Born != 0 {
			s.Born = l.Born + w.Born - 1
		}
		if w.Entry != 0 {
			s.EntryVersion = l.Entry + w.Entry - 1
		}
		servers = append(servers, s)
	}
	return servers
}

// packedAddr is the length of a packed IPv4 address with its port.
const packedAddr = 6

func packAddr(addr string) []byte {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().Is4() {
		return []byte(addr)
	}
	ip := parsed.Addr().As4()
	return append(ip[:], byte(parsed.Port()>>8), byte(parsed.Port()))
}

func unpackAddr(text []byte) string {
	if len(text) != packedAddr {
		return string(text)
	}
	ip := netip.AddrFrom4([4]byte(text[:4]))
	return netip.AddrPortFrom(ip, uint16(text[4])<<8|uint16(text[5])).String()
}

// listChange is a list of servers on its way, or what has changed of it since From.
type listChange struct {
	_        struct{} `cbor:",toarray"`
	Whole    bool
	From     roster.Stamp // of changes
	As       roster.Stamp
	Servers  serverList
	Held     map[string]int64 // ms
	Doubtful serverList
	Left     []int64 // of those in doubt, ms
	Gone     []string
	Gaps     []roster.Gap
}

// packTold puts what a whole list or changes tell into what is sent.
func (c *listChange) packTold(t roster.Snapshot) {
	c.Servers = packServers(t.Servers)
	c.Held = inMillis(t.Held)
	var doubtful []routing.Server
	for _, d := range t.Doubtful {
		doubtful = append(doubtful, d.Server)
		c.Left = append(c.Left, d.Left.Milliseconds())
	}
	c.Doubtful = packServers(doubtful)
}

// told is the other way.
func (c *listChange) told() roster.Snapshot {
	t := roster.Snapshot{Servers: c.Servers.unpack(), Held: ofMillis(c.Held, 0)}
	for i, s := range c.Doubtful.unpack() {
		if i < len(c.Left) {
			t.Doubtful = append(t.Doubtful, roster.Doubtful{Server: s, Left: time.Duration(c.Left[i]) * time.Millisecond})
		}
	}
	return t
}

func packWhole(t roster.Snapshot, as roster.Stamp) listChange {
	c := listChange{Whole: true, As: as}
	c.packTold(t)
	return c
}

func packDelta(d roster.Delta) listChange {
	c := listChange{From: d.From, As: d.To, Gone: d.Removed, Gaps: d.Gaps}
	c.packTold(d.Snapshot)
	return c
}

func (c *listChange) delta() roster.Delta {
	return roster.Delta{From: c.From, To: c.As, Snapshot: c.told(), Removed: c.Gone, Gaps: c.Gaps}
}

// memberList is the routers of one data centre on their way, some 20 bytes for each.
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
