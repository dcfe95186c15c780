package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/windscale/windscale/test/fleet"
)

const (
	scenarioLoad  = 3 * time.Second
	scenarioWarm  = 500 * time.Millisecond
	faultHold     = 1500 * time.Millisecond // longer than the claims' lease of the settings
	staggerMost   = 300 * time.Millisecond  // between the two faults of a pair
	recoveryLimit = 8 * time.Second
)

type faultsOptions struct {
	Only string `long:"only" description:"run only scenarios whose names contain this"`
}

// result is one scenario's row.
type result struct {
	Scenario string `json:"scenario"`
	fleet.Verdict
	RecoverySeconds float64 `json:"recoverySeconds"`
	Recovered       bool    `json:"recovered"`
}

// breached says whether the row must fail the run.
func (r result) breached() bool { return r.Breaches() > 0 || !r.Recovered || r.Whole == 0 }

// faults runs each fault alone, then each pair, in an order given by the seed.
func faults(ctx context.Context, o options) error {
	c, err := small(o, "faults")
	if err != nil {
		return err
	}
	f, err := fleet.Up(ctx, c)
	if err != nil {
		return err
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var results []result
	table := newFaultTable()
	for i, s := range scenarios(rng) {
		if !strings.Contains(s.name(), o.Faults.Only) {
			continue
		}
		r, err := s.run(ctx, f, o.Seed+uint64(i), rng)
		if err != nil {
			return &fleet.Error{What: "scenario " + s.name(), Err: err}
		}
		results = append(results, r)
		table.row(r)
	}
	if err := o.writeJSON("faults", results); err != nil {
		return err
	}
	list := new(checklist)
	for _, r := range results {
		if r.breached() {
			list.check(false, "%s: breaches %d, recovered %t, whole %d\n%s", r.Scenario, r.Breaches(),
				r.Recovered, r.Whole, strings.Join(r.Examples, "\n"))
		}
	}
	ran, err := f.Record(ctx)
	if err != nil {
		return err
	}
	twice := fleet.Doubled(ran)
	list.check(len(twice) == 0, "%d doubled executions of bookings with and without keys in all %d runs %s",
		len(twice), len(ran), strings.Join(twice, ", "))
	list.check(len(results) > 0, "%d scenarios ran", len(results))
	return list.err()
}

// scenario is a set of faults that hold at the same time.
type scenario []fault

func (s scenario) name() string {
	var names []string
	for _, f := range s {
		names = append(names, f.name)
	}
	return strings.Join(names, " + ")
}

// scenarios returns the single faults in order, then all pairs shuffled.
func scenarios(rng *rand.Rand) []scenario {
	all := allFaults()
	var singles, pairs []scenario
	for i, a := range all {
		singles = append(singles, scenario{a})
		for _, b := range all[i+1:] {
			if !a.alone && !b.alone {
				pairs = append(pairs, scenario{a, b})
			}
		}
	}
	rng.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	return append(singles, pairs...)
}

// run provokes the faults under load, heals them, waits for the recovery and
// holds what callers saw against the servers' records.
func (s scenario) run(ctx context.Context, f *fleet.Fleet, seed uint64, rng *rand.Rand) (result, error) {
	r := result{Scenario: s.name()}
	name := strings.ReplaceAll(s.name(), " ", "-")
	caller, err := f.Call(name, mix(), scenarioLoad, seed)
	if err != nil {
		return r, err
	}
	sleep(ctx, scenarioWarm)
	stagger := time.Duration(rng.Int64N(int64(staggerMost)))
	for i, fault := range s {
		sleep(ctx, time.Duration(i)*stagger)
		if err := fault.inject(ctx, f, name); err != nil {
			return r, err
		}
	}
	sleep(ctx, faultHold)
	for _, fault := range s {
		if err := fault.heal(ctx, f, name); err != nil {
			return r, err
		}
	}
	healed := time.Now()
	r.Recovered = recovered(ctx, f)
	r.RecoverySeconds = time.Since(healed).Seconds()
	report, err := caller.Report(ctx)
	if err != nil {
		return r, err
	}
	r.Verdict = fleet.Judge(report)
	return r, nil
}

// recovered waits until every router answers every kind of call.
func recovered(ctx context.Context, f *fleet.Fleet) bool {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	for ctx.Err() == nil {
		if f.Probe(ctx, prober, planModel, "dispatch") == nil {
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// faultTable prints the rows as they come.
type faultTable struct{ out *tabwriter.Writer }

func newFaultTable() *faultTable {
	t := &faultTable{tabwriter.NewWriter(os.Stdout, 10, 0, 1, ' ', tabwriter.AlignRight)}
	fmt.Fprintf(t.out, "requests\twhole\trefused\tunknown\tdoubled\twrong\tfalse no-run\trecovery\t  scenario\n")
	t.out.Flush()
	return t
}

func (t *faultTable) row(r result) {
	recovery := fmt.Sprintf("%.2f s", r.RecoverySeconds)
	if !r.Recovered {
		recovery = "none"
	}
	fmt.Fprintf(t.out, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t  %s\n", r.Requests, r.Whole, r.Refused, r.Unknown,
		r.Doubled, r.Wrong, r.FalseNotRun, recovery, r.Scenario)
	t.out.Flush()
}
