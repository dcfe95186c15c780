package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/windscale/windscale/test/fleet"
)

const (
	demoLoad      = 20 * time.Second
	demoStep      = 2 * time.Second
	leavingNotice = 3 * time.Second // after it a leaving server gets nothing new
	leavingWatch  = 4 * time.Second
	inForceLimit  = 5 * time.Second
)

// demo shows the whole path under load: a settings change, a drain, a leaving
// server, refusals with their reasons.
func demo(ctx context.Context, o options) error {
	c, err := small(o, "demo")
	if err != nil {
		return err
	}
	began := time.Now()
	f, err := fleet.Up(ctx, c)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Printf("%d routers, %d servers and the platform up in %.1f s; logs in %s\n",
		len(f.Routers), len(f.Backends), time.Since(began).Seconds(), f.Dir)

	streams := append(mix(), fleet.Stream{
		Customer: staff, Kind: claims, Mode: "open 60", Values: "prompt = 200\ntokens = 40-120\ntimeout = 10s",
	})
	caller, err := f.Call("load", streams, demoLoad, o.Seed)
	if err != nil {
		return err
	}
	fmt.Printf("\nload of %d customers for %s; claims-staff sends more than its queue may hold\n", len(customers), demoLoad)
	list := new(checklist)
	for _, step := range []func(context.Context, *fleet.Fleet, *checklist) error{changeSettings, drainRouter, leaveServer} {
		sleep(ctx, demoStep)
		if err := step(ctx, f, list); err != nil {
			return err
		}
	}
	fmt.Println("\nwindscalectl status")
	list.check(showStatus(ctx, f) == nil, "windscalectl status")
	requests, err := caller.Requests(ctx)
	if err != nil {
		return err
	}
	ran, err := f.Record(ctx)
	if err != nil {
		return err
	}
	fmt.Println()
	printCustomers(requests)
	checkDemo(list, requests, fleet.Check(requests, ran))
	return list.err()
}

func changeSettings(ctx context.Context, f *fleet.Fleet, list *checklist) error {
	fmt.Println("\na settings change: quetzal's weight from 1 to 1.5")
	took, err := f.Apply(ctx, settings(1.5))
	if err != nil {
		return err
	}
	list.check(took < inForceLimit, "in force on all routers after %.2f s", took.Seconds())
	return nil
}

func drainRouter(ctx context.Context, f *fleet.Fleet, list *checklist) error {
	r := f.Routers[len(f.Routers)-1]
	s, err := r.Status(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\nSIGTERM to %s, with %d requests running and %d waiting\n", r.ID, s.Running, s.Waiting)
	began := time.Now()
	r.Signal(syscall.SIGTERM)
	if err := r.Wait(ctx); err != nil {
		return err
	}
	list.check(r.ExitCode() == 0, "%s ended after %.2f s, exit code %d", r.ID, time.Since(began).Seconds(), r.ExitCode())
	return nil
}

func leaveServer(ctx context.Context, f *fleet.Fleet, list *checklist) error {
	b := f.Backends[0]
	fmt.Printf("\n%s marked as leaving in the host list\n", b.ID)
	if err := f.SetLeaving(ctx, b.ID, true); err != nil {
		return err
	}
	sleep(ctx, leavingNotice)
	before, err := f.RecordOf(ctx, b)
	if err != nil {
		return err
	}
	sleep(ctx, leavingWatch)
	after, err := f.RecordOf(ctx, b)
	if err != nil {
		return err
	}
	list.check(len(before) > 0, "%s had run %d requests", b.ID, len(before))
	list.check(len(after) == len(before), "%s got %d requests from %s to %s after the mark",
		b.ID, len(after)-len(before), leavingNotice, leavingNotice+leavingWatch)
	return nil
}

func showStatus(ctx context.Context, f *fleet.Fleet) error {
	cmd := exec.CommandContext(ctx, f.Bin+"/windscalectl", append(f.CtlArgs(), "status")...)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

func checkDemo(list *checklist, requests []fleet.Request, v fleet.Verdict) {
	whole := make(map[string]int)
	full := 0
	for _, r := range requests {
		if r.Outcome == fleet.Whole {
			whole[r.Customer]++
		}
		if r.Customer == staff.Path && strings.HasSuffix(r.Type, "queue-full") {
			full++
		}
	}
	list.check(v.Breaches() == 0, "%d wrong or cut answers, %d doubled executions, %d false \"not run\" in %d requests",
		v.Wrong+v.NoRecord, v.Doubled, v.FalseNotRun, v.Requests)
	for _, e := range v.Examples {
		fmt.Println("         ", e)
	}
	list.check(v.Unknown == 0, "%d requests without an answer: none was cut by the drain", v.Unknown)
	list.check(len(whole) == len(customers), "%d of %d customers were answered", len(whole), len(customers))
	list.check(full > 0, "claims-staff was refused %d times for its full queue", full)
}

// printCustomers prints what became of each customer's requests, by kind.
func printCustomers(requests []fleet.Request) {
	type row struct {
		sent, whole, unknown, wrong int
		refused                     map[string]int
	}
	rows := make(map[string]*row)
	for _, r := range requests {
		name := r.Customer + "\t" + r.Kind
		if rows[name] == nil {
			rows[name] = &row{refused: make(map[string]int)}
		}
		w := rows[name]
		w.sent++
		switch r.Outcome {
		case fleet.Whole:
			w.whole++
		case fleet.Refused:
			w.refused[r.Type[strings.LastIndexByte(r.Type, ':')+1:]]++
		case fleet.Unknown:
			w.unknown++
		default:
			w.wrong++
		}
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "customer\tkind\tsent\tanswered\tunknown\twrong\trefused, not run")
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		w := rows[name]
		var refused []string
		for _, reason := range slices.Sorted(maps.Keys(w.refused)) {
			refused = append(refused, fmt.Sprintf("%d %s", w.refused[reason], reason))
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%s\n", name, w.sent, w.whole, w.unknown, w.wrong, strings.Join(refused, ", "))
	}
	out.Flush()
}

// up leaves a fleet running until Ctrl-C.
func up(ctx context.Context, o options) error {
	c, err := small(o, "up")
	if err != nil {
		return err
	}
	f, err := fleet.Up(ctx, c)
	if err != nil {
		return err
	}
	defer f.Close()
	ctl := "bin/windscalectl " + strings.Join(f.CtlArgs(), " ")
	fmt.Printf(`A fleet is up; logs in %[1]s. Ctrl-C ends it. To try:

A plan, as a stream:
  curl -N -H "Authorization: Bearer %[2]s" -d '{"model":"%[3]s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"crate a grand piano"}]}' http://%[4]s/v1/chat/completions
A booking, which runs once however often it is sent:
  curl -i -H "Authorization: Bearer %[2]s" -H "Idempotency-Key: truck-1" -d '{"truck":1}' http://%[5]s/services/dispatch/bookings
Operators:
  %[6]s status
  %[6]s backend list
  %[6]s settings show
  %[6]s settings apply %[1]s/settings.ini
  %[6]s drain %[7]s
`, f.Dir, desks.Key(), planModel, f.Routers[0].Entry, f.Routers[1].Entry, ctl, f.Routers[2].ID)
	<-ctx.Done()
	fmt.Println("\nending the fleet")
	return nil
}
