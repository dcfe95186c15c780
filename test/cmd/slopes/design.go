package main

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/hosts"
	"github.com/windscale/windscale/internal/settingsstore"
)

// The size to design for.
const (
	designRouters      = 410
	designServers      = 600
	designAccelerators = 4800
	designRequests     = 3200    // a second
	designTokens       = 1400000 // a second
	designCustomers    = 1000
	designBacklogged   = 100
	designModels       = 9
	designChanges      = 310 // of the settings, a day
	designLost         = 74  // routers and servers a day that fail or are replaced
	designGap          = 52 * time.Millisecond

	// Little's law: tokens a second times the time each takes.
	designStreams = designTokens * int(designGap/time.Millisecond) / 1000
	designHold    = time.Duration(designTokens/designRequests) * designGap

	day = 24 * 3600 // seconds
)

// What a node may spend on control.
const (
	budgetCore   = 1.3 // % of a core
	budgetMemory = 128 << 20
	budgetBytes  = 2 << 10 // a second
)

// What the platform's stores take, the lower end of the brief's words.
const (
	tableWrites = 300  // a second
	tableReads  = 2000 // a second
)

// scrapeEvery is how often windscale-burn reads each router by default.
const scrapeEvery = 15 * time.Second

// figures works out the table from the slopes.
type figures struct {
	slopes  map[string]Slope
	rows    strings.Builder
	missing bool // the next row needs a slope that was not measured
}

func (f *figures) slope(key string) Slope {
	s, ok := f.slopes[key]
	f.missing = f.missing || !ok
	return s
}

// at is the value of a slope's line at x.
func (f *figures) at(key string, x float64) float64 { return f.slope(key).At(x) }

// per is what one more of the size costs.
func (f *figures) per(key string) float64 { return f.slope(key).B }

// value writes the next row's value, unless a slope is missing for it.
func (f *figures) value(v float64, unit string) string {
	defer func() { f.missing = false }()
	if f.missing {
		return "not measured"
	}
	return strings.TrimSpace(number(v) + " " + unit)
}

// add writes one row.
func (f *figures) add(role, what string, v float64, unit, from string) {
	fmt.Fprintf(&f.rows, "| %s | %s | %s | %s |\n", role, what, f.value(v, unit), from)
}

// designTable works out what each role spends at the size to design for.
func designTable(all []Slope) string {
	f := &figures{slopes: map[string]Slope{}}
	for _, s := range all {
		f.slopes[s.Key] = s
	}
	f.rows.WriteString("| role | figure | value | worked out from |\n|---|---|---|---|\n")
	f.load()
	f.entry()
	f.admission()
	f.counters()
	f.settings()
	f.claims()
	f.members()
	f.polls()
	f.reports()
	f.rows.WriteString("\n")
	f.sum()
	return f.rows.String()
}

func (f *figures) load() {
	f.add("load", "streams at once, the fleet", float64(designStreams), "", "Little: 1,400,000 tokens/s × 52 ms")
	f.add("load", "streams at once, a server", float64(designStreams)/designServers, "", "of 600")
	f.add("load", "streams at once, an accelerator", float64(designStreams)/designAccelerators, "", "of 4,800")
	f.add("load", "streams at once, a node", nodeStreams, "", "of 410")
	f.add("load", "requests, a node", nodeRequests, "/s", "3,200/s ÷ 410")
	f.add("load", "tokens, a node", float64(designTokens)/designRouters, "/s", "1,400,000/s ÷ 410")
	f.add("load", "tokens of a request", float64(designTokens)/designRequests, "", "1,400,000 ÷ 3,200")
	f.add("load", "time a request runs", designHold.Seconds(), "s", "its tokens × 52 ms")
}

const (
	nodeStreams  = float64(designStreams) / designRouters
	nodeRequests = float64(designRequests) / designRouters
	mega         = 1 << 20
)

func (f *figures) entry() {
	f.add("entry", "sharing's state of running requests", nodeStreams*f.per("run-bytes")/1024, "KiB", "streams a node × bytes a running request")
	f.add("entry", "sharing's state of 1,000 waiting requests", 1000*f.per("wait-bytes")/1024, "KiB", "bytes a waiting request")
	f.add("entry", "processor time of arrivals", nodeRequests*f.at("arrive-ns", 1000)/1e7, "% of a core", "requests a node × ns an arrival, 1,000 waiting")
	f.add("entry", "processor time of the relayed streams", f.at("stream-core", nodeStreams), "% of a core", "streams a node; not control")
	f.add("entry", "memory of the relayed streams", f.at("stream-memory", nodeStreams)/mega, "MiB", "streams a node; resident; not control")
	f.add("entry", "streams until one core is full", sizeAt(f.slope("stream-core"), 100), "", "a node; the line extended")
}

func (f *figures) admission() {
	f.add("admission", "processor time of grants", nodeRequests*f.at("grant-ns", designBacklogged)/1e7, "% of a core", "requests a node × ns a grant, 100 customers backlogged")
	f.add("admission", "grants one admitter could give", 1e9/f.at("grant-ns", designBacklogged), "/s", "1 ÷ ns a grant; one core")
	f.add("admission", "the same with all 1,000 customers backlogged", 1e9/f.at("grant-ns", designCustomers), "/s", "1 ÷ ns a grant")
	f.add("admission", "state of customers", designBacklogged*f.per("customer-bytes")/1024, "KiB", "100 customers × bytes a customer, a pool")
	f.add("admission", "processor time of held grants", f.at("held-ns", nodeStreams)/1e7, "% of a core", "streams a node × ns a second")
}

func (f *figures) counters() {
	n := float64(designRouters)
	f.add("counters", "sent for sharing", f.at("share-bytes", n), "bytes/s", "the line at 410 routers")
	f.add("counters", "messages sent", f.at("share-messages", n), "/s", "the line at 410 routers")
	f.add("counters", "packets' overhead of those", f.at("share-messages", n)*f.per("link-overhead"), "bytes/s", "messages × bytes beyond the body, acknowledgements included")
	f.add("counters", "processor time", f.at("share-core", n), "% of a core", "the line at 410 routers")
	f.add("counters", "state", f.at("share-memory", n)/mega, "MiB", "the line at 410 routers")
	f.add("counters", "connections of a node", f.connections(), "", "the line at 410 routers, at most all others")
	f.add("counters", "memory of those", f.connections()*f.per("link-memory")/2/mega, "MiB", "connections × half of both ends' bytes")
	f.add("counters", "one more customer backlogged", f.per("share-bytes-customers"), "bytes/s", "at 24 routers")
}

// connections is how many links a node keeps open.
func (f *figures) connections() float64 {
	return min(f.at("share-peers", designRouters), designRouters-1)
}

func (f *figures) settings() {
	n := float64(designCustomers)
	f.add("settings", "source", f.at("settings-source", n)/1024, "KiB", "the line at 1,000 customers")
	f.add("settings", "state", f.at("settings-memory", n)/mega, "MiB", "the line at 1,000 customers")
	f.add("settings", "checking and building a version", f.at("settings-build", n)/1e6, "ms", "the line at 1,000 customers")
	f.add("settings", "processor time", designChanges*f.at("settings-build", n)/day/1e7, "% of a core", "310 changes a day × building")
	f.add("settings", "finding a key's customer", f.at("settings-key", n), "ns", "the line at 1,000 customers")
	f.add("settings", "fetched by a node", f.settingsBytes(), "bytes/s", "310 changes a day × source; on average")
}

func (f *figures) settingsBytes() float64 {
	return designChanges * f.at("settings-source", designCustomers) / day
}

func (f *figures) claims() {
	rows := f.at("claim-rows", 1)
	f.add("claims", "rows written for a call", rows, "", "the claim, its result, the index")
	f.add("claims", "calls until the table's writes are full, rows counted", tableWrites/rows, "/s", "300 writes/s, the low end of several hundred, ÷ rows a call")
	f.add("claims", "calls a node may make of those", tableWrites/rows/designRouters, "/s", "÷ 410: batches of one")
	f.add("claims", "transactions a call at 10 calls/s a router", f.at("claim-commits", 10), "", "the line")
	f.add("claims", "transactions a call at 400 calls/s a router", f.at("claim-commits", 400), "", "the line")
	f.add("claims", "share of the fleet's requests that may be claimed", 100*tableWrites/rows/designRequests, "%", "calls ÷ 3,200/s")
}

func (f *figures) members() {
	n := float64(designRouters)
	f.add("membership", "sent", f.at("member-bytes", n), "bytes/s", "the line at 410 routers")
	f.add("membership", "packets' overhead", f.at("member-messages", n)*f.per("link-overhead"), "bytes/s", "messages × bytes beyond the body")
	f.add("membership", "processor time", f.at("member-core", n), "% of a core", "the line at 410 routers")
	f.add("membership", "state", f.at("member-memory", n)/1024, "KiB", "the line at 410 routers")
	f.add("membership", "sent for changes", designLost*f.at("member-change", n)/day, "bytes/s", "74 a day × bytes a change; on average")
}

func (f *figures) reports() {
	n := float64(designCustomers)
	f.add("reports", "metrics page", f.at("page-bytes", n)/1024, "KiB", "the line at 1,000 customers, all of which have had requests here")
	f.add("reports", "read every 15 s", f.at("page-bytes", n)/scrapeEvery.Seconds(), "bytes/s", "uncompressed; to operators, not between nodes")
	f.add("reports", "processor time of that", f.at("page-ns", n)/scrapeEvery.Seconds()/1e7, "% of a core", "")
	f.add("reports", "state", f.at("metrics-bytes", n)/mega, "MiB", "the line at 1,000 customers")
	f.add("reports", "windscale-burn: one round", f.at("round-ns", designRouters)/1e6, "ms", "the line at 410 routers, 100 customers each")
	f.add("reports", "windscale-burn: the report", f.at("report-ns", n)/1e6, "ms", "the line at 1,000 customers")
}

// What a router asks for, a second.
var (
	headReads   = 1 / settingsstore.DefaultInterval.Seconds()
	listReads   = 1 / hosts.Interval.Seconds()
	loadReports = designServers / share.DefaultProbeInterval.Seconds() / designRouters
	listChanges = float64(2*designLost) / day // leaving and joining
)

// polls works out what a node asks of the platform and of the servers.
func (f *figures) polls() {
	n := float64(designRouters + designServers)
	f.add("settings", "reading the head row", headReads*f.per("head-bytes"), "bytes/s", "readings a second × bytes, both ways")
	f.add("settings", "the fleet's readings of the head row", headReads*designRouters, "/s", "410 × readings a second, of the table's 2,000 reads/s")
	f.add("membership", "reading the host list, unchanged", listReads*f.at("list-same-bytes", n), "bytes/s", "readings a second × bytes, both ways")
	f.add("membership", "reading the host list, changed", listChanges*f.at("list-bytes", n), "bytes/s", "148 changes a day × bytes at 1,010 hosts; on average")
	f.add("admission", "load reports", loadReports, "/s", "600 servers × reports a second ÷ 410")
	f.add("admission", "load reports", loadReports*f.per("report-bytes"), "bytes/s", "reports × bytes, both ways")
}

// pollBytes is the sum of those.
func (f *figures) pollBytes() float64 {
	n := float64(designRouters + designServers)
	return headReads*f.per("head-bytes") + listReads*f.at("list-same-bytes", n) +
		listChanges*f.at("list-bytes", n) + loadReports*f.per("report-bytes")
}

// sum compares what a node spends on control with what it may.
func (f *figures) sum() {
	n := float64(designRouters)
	messages := f.at("share-messages", n) + f.at("member-messages", n)
	bodies := f.at("share-bytes", n) + f.at("member-bytes", n) + f.settingsBytes() + designLost*f.at("member-change", n)/day
	packets := messages * f.per("link-overhead")
	polls := f.pollBytes()
	core := f.at("share-core", n) + f.at("member-core", n) + designChanges*f.at("settings-build", designCustomers)/day/1e7 +
		f.at("page-ns", designCustomers)/scrapeEvery.Seconds()/1e7
	memory := f.at("share-memory", n) + f.connections()*f.per("link-memory")/2 + f.at("member-memory", n) +
		f.at("settings-memory", designCustomers) + f.at("metrics-bytes", designCustomers)
	unknown := f.missing
	f.rows.WriteString("| control of a node | spends | may spend | |\n|---|---|---|---|\n")
	f.budget(unknown, "bodies of the messages sent to routers, and settings", bodies, budgetBytes, "bytes/s")
	f.budget(unknown, "polls of the platform and the servers, both ways, by HTTP", polls, budgetBytes, "bytes/s")
	f.budget(unknown, "all of it: bodies, packets' overhead, polls", bodies+packets+polls, budgetBytes, "bytes/s")
	f.budget(unknown, "processor time (without the packets')", core, budgetCore, "% of a core")
	f.budget(unknown, "memory (live bytes)", memory/mega, budgetMemory/mega, "MiB")
}

func (f *figures) budget(unknown bool, what string, v, limit float64, unit string) {
	verdict := "met"
	f.missing = unknown
	switch {
	case unknown:
		verdict = "not known"
	case v > limit:
		verdict = fmt.Sprintf("NOT MET, %.1f times as much", v/limit)
	}
	fmt.Fprintf(&f.rows, "| %s | %s | %s %s | %s |\n", what, f.value(v, unit), number(limit), unit, verdict)
}

// sizeAt is the size at which the line reaches y.
func sizeAt(s Slope, y float64) float64 {
	x := (y - s.A) / s.B
	if s.Log {
		return math.Exp(x)
	}
	return x
}

// directTable lists what a simulated fleet of the design's size spent.
func directTable(c control) string {
	f := &figures{}
	f.rows.WriteString("| role | figure | value | from |\n|---|---|---|---|\n")
	from := fmt.Sprintf("%d simulated routers, %d servers, %s after %s", designRouters, designServers, simWindow*simWindows, simWarm)
	f.add("admission", "grants, the fleet", c.grants, "/s", from)
	f.add("counters", "sent for sharing", c.bytes, "bytes/s", from)
	f.add("counters", "messages sent", c.messages, "/s", from)
	f.add("counters", "processor time", 100*c.core, "% of a core", from)
	f.add("counters", "state", c.memory/mega, "MiB", from)
	f.add("counters", "routers a router exchanges messages with", c.peers, "", from)
	return f.rows.String()
}
