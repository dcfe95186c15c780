// Command soak runs windscale-edge as separate processes on loopback before
// stand-ins of the platform, makes them fail by a seeded schedule, and checks
// what callers and backend servers see against the promises. It ends only
// processes that it started, by their ids.
//
// Exit codes: 0 every promise held, 1 one was broken, 2 wrong usage.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/cli"
)

const help = `Run windscale-edge under faults and check its promises.

Examples:
  soak --binary bin/windscale-edge --seeds 1,2,3
  soak --binary bin/windscale-edge --from 100 --count 50 --faults kill,stop,store

Exit codes: 0 every promise held, 1 one was broken, 2 wrong usage.`

// options are the command line.
type options struct {
	Binary  string        `long:"binary" default:"bin/windscale-edge" value-name:"FILE" description:"the router's program"`
	Out     string        `long:"out" default:"out/soak" value-name:"DIR" description:"where logs go"`
	Seeds   string        `long:"seeds" value-name:"N,N" description:"the seeds to play"`
	From    uint64        `long:"from" default:"1" description:"the first seed, without --seeds"`
	Count   int           `long:"count" default:"1" description:"how many seeds, without --seeds"`
	Span    time.Duration `long:"span" default:"6s" description:"over which the faults of a seed come"`
	Number  int           `long:"number" default:"8" description:"faults of a seed"`
	Routers int           `long:"routers" default:"4" description:"processes"`
	Callers int           `long:"callers" default:"16" description:"callers"`
	Faults  string        `long:"faults" value-name:"KIND,KIND" description:"the kinds of faults; empty: all"`
	Relay   bool          `long:"relay" description:"all routers stand in one data centre and the first has few cores, so that it relays callers to the others; leaves out faults whose checks ask which router passed an answer on"`
	// Scheduler needs more routers than a fleet without a scheduler has.
	Scheduler bool `long:"scheduler" description:"all routers and engines stand in one data centre, so that the first router schedules; it is killed and paused too; needs 13 routers or more"`

	Shrink bool `long:"shrink" description:"on a failure, look for a shorter schedule that fails too"`
}

func main() { os.Exit(command(os.Args[1:], os.Stdout, os.Stderr)) }

func command(args []string, out, errOut io.Writer) int {
	var o options
	if _, err := cli.NewParser(&o, help).ParseArgs(args); err != nil {
		return cli.Report("soak", err, out, errOut)
	}
	seeds, names, err := o.check()
	if err != nil {
		return cli.Report("soak", err, out, errOut)
	}
	failed := 0
	for _, seed := range seeds {
		list := schedule(seed, names, o.Number, o.Span)
		if !o.seed(out, seed, list) {
			failed++
		}
	}
	_, _ = fmt.Fprintf(out, "%d seeds, %d with a broken promise\n", len(seeds), failed)
	if failed > 0 {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

// layout returns the layout that the options ask for.
func (o options) layout() layout {
	switch {
	case o.Relay:
		return relaying
	case o.Scheduler:
		return scheduling
	}
	return spread
}

// check reads the lists of the command line.
func (o options) check() ([]uint64, []string, error) {
	names := kindNames()
	known := names
	switch {
	case o.Relay:
		names = relayKinds
	case o.Scheduler:
		names = append(slices.Clone(relayKinds), schedulerKind)
		known = append(known, schedulerKind)
	}
	known = append(known, truncateKind, endlessKind, malformedKind)
	if o.Faults != "" {
		names = strings.Split(o.Faults, ",")
	}
	for _, name := range names {
		if !slices.Contains(known, name) {
			return nil, nil, &cli.UsageError{What: "no fault " + name + "; there are " + strings.Join(kindNames(), ", ")}
		}
	}
	var seeds []uint64
	for i := range o.Count {
		seeds = append(seeds, o.From+uint64(i))
	}
	if o.Seeds == "" {
		return seeds, names, nil
	}
	seeds = nil
	for text := range strings.SplitSeq(o.Seeds, ",") {
		var n uint64
		if _, err := fmt.Sscan(text, &n); err != nil {
			return nil, nil, &cli.UsageError{What: "no seed: " + text}
		}
		seeds = append(seeds, n)
	}
	return seeds, names, nil
}

// seed plays one seed and reports; on a failure it may look for a shorter
// schedule.
func (o options) seed(out io.Writer, seed uint64, list []fault) bool {
	got, summary := o.play(seed, list)
	_, _ = fmt.Fprintf(out, "seed %d: %s\n", seed, summary)
	if len(got) == 0 {
		return true
	}
	for _, b := range got[:min(len(got), 5)] {
		_, _ = fmt.Fprintf(out, "  broken at %s: %s: %s\n", b.at.Round(time.Millisecond), b.promise, b.detail)
	}
	if o.Shrink {
		list = o.shrink(seed, list, got[0].promise)
	}
	for _, x := range list {
		_, _ = fmt.Fprintf(out, "  fault: %s\n", x)
	}
	_, _ = fmt.Fprintf(out, "  logs: %s\n", o.dir(seed))
	return false
}

func (o options) dir(seed uint64) string { return filepath.Join(o.Out, fmt.Sprintf("seed-%d", seed)) }

// shrink drops faults one by one as long as the promise is broken without them.
func (o options) shrink(seed uint64, list []fault, p promise) []fault {
	for i := 0; i < len(list); {
		shorter := slices.Delete(slices.Clone(list), i, i+1)
		got, _ := o.play(seed, shorter)
		if slices.ContainsFunc(got, func(b broken) bool { return b.promise == p }) {
			list = shorter
			continue
		}
		i++
	}
	return list
}

// play plays a schedule on a new fleet.
func (o options) play(seed uint64, list []fault) ([]broken, string) {
	dir := o.dir(seed)
	v := &verdicts{begin: time.Now()}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		v.report(noUnaskedExit, "%v", err)
		return v.all(), "not played"
	}
	f, err := newFleet(o.Binary, dir, o.Routers, o.layout(), memoryOf(list), v)
	if err != nil {
		v.report(noUnaskedExit, "%v", err)
		return v.all(), "not played"
	}
	defer f.close()
	if !f.allReady(10 * time.Second) {
		v.report(serviceBack, "not ready after the start")
		return v.all(), "not played"
	}
	c := &callers{fleet: f, seed: seed, calm: calm(list), longBodies: has(list, malformedKind), sent: map[string]*sent{}, leavingSeen: map[routerServer][]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	done, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, o.Callers)
	}()
	go func() {
		defer close(watched)
		f.watchMemory(done)
	}()
	f.play(list)
	f.checkBack(c)
	cancel()
	<-done
	<-watched
	again := f.checkRuns(c)
	resumed, goneOn := c.checkVersions()
	if budget := 0.2*float64(c.all.Load()) + retrySlack; float64(again) > budget {
		v.report(withinBudget, "%d sent again, %.0f allowed", again, budget)
	}
	if o.Relay && f.relayStarts() == 0 {
		v.report(relays, "no router has relayed a caller")
	}
	if o.Scheduler && f.scheduledCount() == 0 {
		v.report(schedules, "no request was sent as the scheduler decided")
	}
	return v.all(), fmt.Sprintf("%d faults, %d requests, %d succeeded, %d sent again, %d of %d resumed streams went on, %d MB at most, %d promises broken",
		len(list), c.all.Load(), c.ok.Load(), again, goneOn, resumed, f.peakMB, len(v.all()))
}
