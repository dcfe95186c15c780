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

	"github.com/windscale/windscale/internal/load"
	"github.com/windscale/windscale/test/fleet"
)

const (
	demoLoad      = 22 * time.Second
	demoStep      = 2 * time.Second
	leavingNotice = 3 * time.Second // after it a leaving server gets nothing new
	leavingWatch  = 4 * time.Second
	inForceLimit  = 5 * time.Second
	drainMost     = 5 * time.Second // a second of notice, and a short queue's time
)

// demo shows the whole path under load: a settings change, a drain, a leaving
// server, refusals with their reasons.
func demo(ctx context.Context, o options) error {
	began := time.Now()
	f, err := small(ctx, o, "demo")
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
	if err := demoSteps(ctx, f, list); err != nil {
		return err
	}
	report, err := caller.Report(ctx)
	if err != nil {
		return err
	}
	ran, err := f.Record(ctx)
	if err != nil {
		return err
	}
	fmt.Println()
	printCustomers(report)
	checkDemo(list, report, fleet.Doubled(ran))
	return list.err()
}

// demoSteps does what operators do while the load runs.
func demoSteps(ctx context.Context, f *fleet.Fleet, list *checklist) error {
	for _, step := range []func(context.Context, *fleet.Fleet, *checklist) error{changeSettings, drainRouter, leaveServer} {
		sleep(ctx, demoStep)
		if err := step(ctx, f, list); err != nil {
			return err
		}
	}
	fmt.Println("\nwindscalectl status")
	list.check(showStatus(ctx, f) == nil, "windscalectl status")
	return nil
}

// changeSettings changes a weight and waits until it is in force everywhere.
func changeSettings(ctx context.Context, f *fleet.Fleet, list *checklist) error {
	fmt.Println("\na settings change: quetzal's weight from 1 to 1.5")
	took, err := f.Apply(ctx, settings(1.5), true)
	if err != nil {
		return err
	}
	list.check(took < inForceLimit, "in force on all routers after %.2f s", took.Seconds())
	return nil
}

// drainRouter ends a router by SIGTERM; it must finish what it has.
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
	took := time.Since(began)
	list.check(r.ExitCode() == 0, "%s ended after %.2f s, exit code %d", r.ID, took.Seconds(), r.ExitCode())
	list.check(took < drainMost, "what waited went on to be served")
	return nil
}

// leaveServer marks a server as leaving; it must get nothing new.
func leaveServer(ctx context.Context, f *fleet.Fleet, list *checklist) error {
	b := f.Backends[0]
	fmt.Printf("\n%s marked as leaving in the host list\n", b.ID)
	if err := f.SetLeaving(ctx, b.ID, true); err != nil {
		return err
	}
	sleep(ctx, leavingNotice)
	before, err := b.Record(ctx)
	if err != nil {
		return err
	}
	sleep(ctx, leavingWatch)
	after, err := b.Record(ctx)
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

func checkDemo(list *checklist, report *load.Report, doubled []string) {
	answered := make(map[string]int)
	full := 0
	for _, s := range report.Sections {
		answered[s.Customer] += s.Answered
		if s.Customer == staff.Path {
			full += s.RefusedByType[queueFullType]
		}
	}
	v := fleet.Judge(report)
	list.check(v.Breaches()+len(doubled) == 0, "%d wrong or cut answers, %d doubled executions, %d false \"not run\" in %d requests %s",
		v.Wrong, v.Doubled+len(doubled), v.FalseNotRun, v.Requests, strings.Join(v.Examples, ", "))
	list.check(v.Unknown == 0, "%d requests without a whole answer in time or a true refusal: the drain cut nothing", v.Unknown)
	for _, c := range customers {
		list.check(answered[c.Path] > 0, "%s: %d answers", c.Path, answered[c.Path])
	}
	list.check(full > 0, "claims-staff was refused %d times for its full queue", full)
}

// queueFullType is the problem type of a refusal for the customer's full queue.
const queueFullType = "urn:windscale:problem:queue-full"

// printCustomers prints what became of each customer's requests, by kind.
func printCustomers(report *load.Report) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "customer\tkind\tsent\tanswered\tunknown\twrong\tmoved on\trefused, not run")
	for _, s := range report.Sections {
		var refused []string
		for _, reason := range slices.Sorted(maps.Keys(s.RefusedByType)) {
			name := reason[strings.LastIndexByte(reason, ':')+1:]
			refused = append(refused, fmt.Sprintf("%d %s", s.RefusedByType[reason], name))
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Customer, s.Kind, s.Sent, s.Answered,
			s.Unknown+s.Late+s.NotSent+s.Unfinished, s.Wrong, s.Moved, strings.Join(refused, ", "))
	}
	out.Flush()
}

// up leaves a fleet running until Ctrl-C.
func up(ctx context.Context, o options) error {
	f, err := small(ctx, o, "up")
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
  %[6]s settings apply --base 1 %[1]s/settings.ini   # after editing it
  %[6]s drain %[7]s
`, f.Dir, desks.Key(), planModel, f.Routers[0].Entry, f.Routers[1].Entry, ctl, f.Routers[2].ID)
	<-ctx.Done()
	fmt.Println("\nending the fleet")
	return nil
}
