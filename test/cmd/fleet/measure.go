package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/load"
	"github.com/windscale/windscale/test/fleet"
)

const (
	measureRouters = 8
	measureLoad    = 30 * time.Second
	measureFrom    = 6 * time.Second  // the window that counts,
	measureTo      = 28 * time.Second // since the load began
	sampleEvery    = 250 * time.Millisecond
	largeWeight    = 2
)

type measureOptions struct {
	Sharing []string `long:"sharing" default:"alone" default:"fleet" description:"ways of sharing to measure, in order"`
	Round   string   `long:"round" default:"trial" description:"what the row is to say of the round"`
	Cause   string   `long:"cause" default:"sharing across the fleet in place of each router alone" description:"what the row is to say of the cause"`
}

// figures are what one way of sharing comes to.
type figures struct {
	Sharing         string  `json:"sharing"`
	Requests        int     `json:"requests"`
	Breaches        int     `json:"breaches"`
	Gap             float64 `json:"gap"`        // largest difference of service over weight, in weighted tokens
	GapSeconds      float64 `json:"gapSeconds"` // the same, in seconds of a customer's fair share
	CostPerSecond   float64 `json:"costPerSecond"`
	EngineUse       float64 `json:"engineUse"`  // of slots, while work waited
	ServiceUse      float64 `json:"serviceUse"` // the same, of the plain services
	SmallestWaitMs  float64 `json:"smallestWaitMs"`
	ControlBytes    float64 `json:"controlBytesPerRouterSecond"` // all messages between routers
	SharingBytes    float64 `json:"sharingBytesPerRouterSecond"` // of these, the sharing's
	ControlMessages float64 `json:"controlMessagesPerRouterSecond"`
	RouterCPUMicros float64 `json:"routerCPUMicrosecondsPerRequest"`
}

// String is the form of the table's cells.
func (g figures) String() string {
	return fmt.Sprintf("%s: gap %.0f weighted tokens (%.2f s of a fair share), %.0f weighted tokens/s, use of slots while work waits %.1f%% engines, "+
		"%.1f%% services, smallest customer's longest wait %.0f ms, control %.0f B/s (sharing %.0f) and %.1f messages/s a router, "+
		"router CPU %.0f µs a request, %d requests, %d breaches",
		g.Sharing, g.Gap, g.GapSeconds, g.CostPerSecond, 100*g.EngineUse, 100*g.ServiceUse, g.SmallestWaitMs,
		g.ControlBytes, g.SharingBytes, g.ControlMessages, g.RouterCPUMicros, g.Requests, g.Breaches)
}

// measure runs the same load under each way of sharing and prints a row for
// docs/MEASUREMENTS.md.
func measure(ctx context.Context, o options) error {
	var all []figures
	for _, sharing := range o.Measure.Sharing {
		g, err := measureOne(ctx, o, sharing)
		if err != nil {
			return &fleet.Error{What: "sharing = " + sharing, Err: err}
		}
		fmt.Println(g)
		all = append(all, g)
	}
	first, last := all[0], all[len(all)-1]
	fmt.Println("\n| round | cause | before | after | conclusion |")
	fmt.Printf("| %s | %s | %s | %s | gap %.1f times smaller |\n", o.Measure.Round, o.Measure.Cause, first, last,
		first.Gap/last.Gap)
	list := new(checklist)
	for _, g := range all {
		list.check(g.Breaches == 0, "%s: no wrong answers, doubled executions or false refusals", g.Sharing)
	}
	if err := o.writeJSON("measure", all); err != nil {
		return err
	}
	return list.err()
}

// measureOne runs the load under one way of sharing.
func measureOne(ctx context.Context, o options, sharing string) (figures, error) {
	g := figures{Sharing: sharing}
	w := newWorkload()
	c, err := large(o, sharing, w.customers)
	if err != nil {
		return g, err
	}
	f, err := fleet.Up(ctx, c)
	if err != nil {
		return g, err
	}
	defer f.Close()
	caller, err := f.Call("load", w.streams(f), measureLoad, o.Seed)
	if err != nil {
		return g, err
	}
	sleep(ctx, measureFrom)
	s, err := sample(ctx, f)
	if err != nil {
		return g, err
	}
	report, err := caller.Report(ctx)
	if err != nil {
		return g, err
	}
	v := fleet.Judge(report)
	g.Breaches = v.Breaches()
	for _, e := range v.Examples {
		fmt.Println("  breach:", e)
	}
	w.fill(&g, report)
	s.fill(&g)
	return g, nil
}

// large is the fleet that is measured.
func large(o options, sharing string, customers []fleet.Customer) (fleet.Config, error) {
	c, err := o.Config("measure-" + sharing)
	c.Routers = measureRouters
	c.DataCentres = 3
	c.Sharing = sharing
	c.Settings = common
	c.Servers = manyServers()
	c.Customers = customers
	return c, err
}

// manyServers are 20 engines, sped up, and 3 servers of a plain service.
func manyServers() []fleet.Server {
	var all []fleet.Server
	for i := range 20 {
		all = append(all, fleet.Server{
			ID: fmt.Sprintf("e%d", i+1), DataCentre: fmt.Sprintf("dc%d", i%3+1), Kind: "engine",
			Args: []string{"--models", planModel, "--slots", "4", "--rate", "400", "--prefill", "5ms", "--report-lag", "200ms"},
		})
	}
	for i := range 3 {
		all = append(all, fleet.Server{
			ID: fmt.Sprintf("d%d", i+1), DataCentre: fmt.Sprintf("dc%d", i%3+1), Kind: "service",
			Args: []string{"--name", "dispatch", "--slots", "4", "--delay", "40ms"},
		})
	}
	return all
}

// workload is 16 customers: 3 large, 9 middling, all backlogged throughout; 3
// small ones with a request now and then; one that calls the plain service.
// Every other one is stuck to one router.
type workload struct {
	customers  []fleet.Customer
	modes      []string
	kinds      []string
	backlogged map[string]float64 // weight by path
	smallest   string
}

func newWorkload() *workload {
	w := &workload{backlogged: make(map[string]float64)}
	for i := range 16 {
		path := fmt.Sprintf("trasladar/c%02d", i+1)
		c := fleet.Customer{Path: path, Values: "weight = 1\nqueue_len = 200\nqueue_time = 20s\nrequest_time = 30s"}
		kind, mode := plans, "closed 14"
		switch {
		case i < 3:
			c.Values = fmt.Sprintf("weight = %d\nqueue_len = 200\nqueue_time = 20s\nrequest_time = 30s", largeWeight)
			mode = "closed 60"
			w.backlogged[path] = largeWeight
		case i < 12:
			w.backlogged[path] = 1
		case i < 15:
			mode = "open 2"
			w.smallest = path
		default:
			kind, mode = status, "closed 30"
		}
		w.customers = append(w.customers, c)
		w.kinds = append(w.kinds, kind)
		w.modes = append(w.modes, mode)
	}
	return w
}

// streams sticks every other customer to one of the first routers, so that
// these are loaded unevenly.
func (w *workload) streams(f *fleet.Fleet) []fleet.Stream {
	entries := f.Entries()
	var all []fleet.Stream
	for i, c := range w.customers {
		s := fleet.Stream{Customer: c, Kind: w.kinds[i], Mode: w.modes[i], Values: "prompt = 200\ntokens = 40-120\ntimeout = 25s"}
		if i%2 == 0 {
			s.Targets = entries[i%6 : i%6+1]
		}
		all = append(all, s)
	}
	return all
}

// fill computes what the callers' report shows of the window. Service is
// counted token by token, as it is received, and by whole seconds.
func (w *workload) fill(g *figures, report *load.Report) {
	from, to := int(measureFrom.Seconds()), int(measureTo.Seconds())
	sums := make(map[string]float64)
	for at := from; at < to; at++ {
		for _, s := range report.Sections {
			if at >= len(s.Series) {
				continue
			}
			g.Requests += s.Series[at].Answered
			if weight := w.backlogged[s.Customer]; weight > 0 {
				sums[s.Customer] += float64(s.Series[at].Cost) / weight
			}
		}
		each := slices.Collect(maps.Values(sums))
		g.Gap = max(g.Gap, slices.Max(each)-slices.Min(each))
	}
	weights := 0.0
	total := 0.0
	for path, sum := range sums {
		weights += w.backlogged[path]
		total += sum * w.backlogged[path]
	}
	g.CostPerSecond = total / float64(to-from)
	g.GapSeconds = g.Gap * weights / g.CostPerSecond
	for _, s := range report.Sections {
		if s.Customer == w.smallest {
			g.SmallestWaitMs = s.FirstToken.Max
		}
	}
}
