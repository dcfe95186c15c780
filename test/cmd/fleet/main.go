// Command fleet runs demonstrations and trials of windscale on real processes
// on loopback: demo, up, faults and measure. It is test scaffolding. It exits
// with 0 if all was as it must be, 1 if anything was not, 2 on wrong usage.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	_ "github.com/jessevdk/go-flags" // reads the tags of the options

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/test/fleet"
)

// options are common to the commands.
type options struct {
	fleet.Folders
	Seed uint64 `long:"seed" default:"1" description:"seed of the load and of the faults' order"`

	Demo    struct{}       `command:"demo" description:"show the whole path at work; ends by itself"`
	Up      struct{}       `command:"up" description:"leave a fleet running until Ctrl-C"`
	Faults  faultsOptions  `command:"faults" description:"provoke failures one by one and in pairs"`
	Measure measureOptions `command:"measure" description:"measure fairness, utilisation and control traffic"`
}

func main() {
	var o options
	parser := cli.NewParser(&o, "")
	if _, err := parser.Parse(); err != nil {
		os.Exit(cli.Report("fleet", err, os.Stdout, os.Stderr))
	}
	if err := run(parser.Active.Name, o); err != nil {
		fmt.Fprintf(os.Stderr, "%s: FAILED: %v\n", parser.Active.Name, err)
		os.Exit(cli.ExitFailed)
	}
}

// run runs one command within its limit, or until Ctrl-C.
func run(name string, o options) error {
	commands := map[string]struct {
		run   func(context.Context, options) error
		limit time.Duration
	}{
		"demo":    {demo, time.Minute},
		"up":      {up, 24 * time.Hour},
		"faults":  {faults, 3 * time.Minute},
		"measure": {measure, 2 * time.Minute},
	}
	c := commands[name]
	ctx, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return c.run(ctx, o)
}

// writeJSON writes a result to out/NAME.json.
func (o options) writeJSON(name string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(o.Out, name+".json")
	fmt.Println("written:", path)
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checklist collects what must hold and what did not.
type checklist struct{ failed []error }

// check prints whether what holds.
func (c *checklist) check(ok bool, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if ok {
		fmt.Println("  ok     ", what)
		return
	}
	fmt.Println("  FAILED ", what)
	c.failed = append(c.failed, &fleet.Error{What: what})
}

func (c *checklist) err() error { return errors.Join(c.failed...) }
