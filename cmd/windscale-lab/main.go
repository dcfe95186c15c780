// Command windscale-lab plays a scenario in the emulator and compares policies on it. See
// docs/EMULATOR.md.
package main

import (
	"encoding/json"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/emulator"
	"github.com/windscale/windscale/internal/lab"
)

const program = "windscale-lab"

const description = `Plays a scenario in the emulator, under one policy or several.

One line of JSON a play: what was served in time, late, refused and failed, in parts of the
tokens asked. With several policies one line more for each but the first: how much more it
serves in time than the first, over the same seeds, with 95% confidence. The same seeds give
the same bytes. Nothing here is a figure of capacity.

With --control-plane the file is a fleet whose routers tell each other of themselves, of servers and
of changes: what a start, a change and a failure cost and how long they take, by role.

Policies: product, scheduled, random, least-loaded, two-at-random, homes-only, all-knowing.

Examples:
  windscale-lab deploy/lab/flood.ini
  windscale-lab --policy product,homes-only,all-knowing --seeds 10 deploy/lab/flood.ini
  windscale-lab --check deploy/lab/flood.ini
  windscale-lab --control-plane --routers 100 --routers 1000 --table deploy/lab/whole-fleet.ini

Exit codes: 0 played, 1 failed, 2 wrong usage or input.`

type options struct {
	Policy string `long:"policy" default:"product" value-name:"NAME,NAME" description:"who decides where requests go"`
	Seeds  int    `long:"seeds" default:"3" description:"how many seeds, from 1 on"`
	Check  bool   `long:"check" description:"only check the file"`

	ControlPlane bool   `long:"control-plane" description:"the file is a scenario of the control plane"`
	Routers      []int  `long:"routers" value-name:"N" description:"control plane: play it at this number of routers; may be given several times"`
	Table        bool   `long:"table" description:"control plane: a table in place of lines of JSON"`
	Plot         string `long:"plot" value-name:"FILE" description:"control plane: draw how it grows, by the file's ending as svg, png or pdf"`

	Version func() `long:"version" description:"show the version"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	opts := options{Version: cli.Version(program)}
	if _, err := cli.NewParser(&opts, description).ParseArgs(args); err != nil {
		return cli.Report(program, err, out, errOut)
	}
	if opts.ControlPlane {
		return cli.Report(program, controlPlane(opts, out), out, errOut)
	}
	policies, err := opts.policies()
	if err != nil {
		return cli.Report(program, err, out, errOut)
	}
	scenario, err := lab.Load(opts.Args.File)
	if err != nil {
		return cli.Report(program, &cli.UsageError{What: err.Error()}, out, errOut)
	}
	if opts.Check {
		return cli.ExitOK
	}
	return cli.Report(program, play(json.NewEncoder(out), scenario, policies, opts.Seeds), out, errOut)
}

// policies are the names that were given, checked.
func (o options) policies() ([]string, error) {
	names := strings.Split(o.Policy, ",")
	for _, name := range names {
		if _, known := lab.Policies[name]; !known {
			return nil, &cli.UsageError{What: "no policy " + name}
		}
	}
	if slices.Contains(names[1:], names[0]) {
		return nil, &cli.UsageError{What: names[0] + " is compared with itself"}
	}
	if least := min(len(names), 2); o.Seeds < least {
		return nil, &cli.UsageError{What: "too few seeds: a comparison needs two"}
	}
	return names, nil
}

// controlPlane plays a scenario of the control plane at each size.
func controlPlane(opts options, out io.Writer) error {
	scenario, err := lab.LoadControlPlane(opts.Args.File)
	if err != nil {
		return &cli.UsageError{What: err.Error()}
	}
	for _, n := range opts.Routers {
		if n < 1 {
			return &cli.UsageError{What: "no number of routers: " + strconv.Itoa(n)}
		}
	}
	if opts.Check {
		return nil
	}
	lines := json.NewEncoder(out)
	plays, err := lab.RunControlPlane(scenario, opts.Routers, func(p lab.ControlPlay) error {
		if opts.Table {
			return nil
		}
		return lines.Encode(p)
	})
	if err != nil {
		return err
	}
	if opts.Table {
		if err := lab.WriteTable(out, plays); err != nil {
			return err
		}
	}
	if opts.Plot == "" {
		return nil
	}
	return lab.PlotControlPlane(plays, opts.Plot)
}

// play plays all policies and writes the lines.
func play(out *json.Encoder, s emulator.Scenario, policies []string, seeds int) error {
	all := map[string][]lab.Play{}
	for _, policy := range policies {
		for seed := range seeds {
			p := lab.Run(s, policy, uint64(seed)+1)
			all[policy] = append(all[policy], p)
			if err := out.Encode(p); err != nil {
				return err
			}
		}
	}
	for _, policy := range policies[1:] {
		if err := out.Encode(lab.Compare(all[policy], all[policies[0]])); err != nil {
			return err
		}
	}
	return nil
}
