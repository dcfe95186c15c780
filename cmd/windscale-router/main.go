// Command windscale-router is one router of the fleet: the entry for callers,
// the admission to backend servers and the link to the other routers.
//
// Exit codes: 0 a graceful end, 1 a failure while running, 2 wrong arguments
// or configuration.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/oklog/run"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/config"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/router"
	"github.com/windscale/windscale/internal/version"
)

// How much of one event the log takes; the next line says what was left out.
const (
	eventsPerSecond = 2
	eventsAtOnce    = 20
)

const help = `One router of the fleet. It reads its own INI file and serves until SIGTERM,
which ends it gracefully: no request in progress is cut. A second SIGTERM cuts.

Examples:
  windscale-router --config r1.ini --check-config
  windscale-router --config r1.ini

Exit codes: 0 graceful end, 1 failure while running, 2 wrong arguments or configuration.`

// options are the command line.
type options struct {
	Config  string `long:"config" short:"c" value-name:"FILE" description:"the router's INI file"`
	Check   bool   `long:"check-config" description:"check the file, print every fault, and end"`
	Version bool   `long:"version" description:"print the version and end"`
}

func main() { os.Exit(command(os.Args[1:], os.Stdout, os.Stderr)) }

// command runs the command line and returns the exit code.
func command(args []string, out, errOut io.Writer) int {
	var o options
	if _, err := cli.NewParser(&o, help).ParseArgs(args); err != nil {
		return cli.Report("windscale-router", err, out, errOut)
	}
	if o.Version {
		_, _ = fmt.Fprintln(out, version.String())
		return cli.ExitOK
	}
	if o.Config == "" {
		_, _ = fmt.Fprintln(errOut, "--config is needed; see --help")
		return cli.ExitUsage
	}
	cfg, err := config.Load(o.Config)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return cli.ExitUsage
	}
	if o.Check {
		_, _ = fmt.Fprintln(out, o.Config+": no faults")
		return cli.ExitOK
	}
	return serve(cfg, errOut)
}

// serve runs the router until it has drained or failed, and returns the exit
// code.
func serve(cfg *config.Router, errOut io.Writer) int {
	log := logger(cfg, errOut)
	if err := runRouter(cfg, log); err != nil {
		events.ProcessFailed.Log(context.Background(), log, slog.LevelError, "err", err)
		return cli.ExitFailed
	}
	return cli.ExitOK
}

// runRouter builds the router and runs its actors.
func runRouter(cfg *config.Router, log *slog.Logger) error {
	r, err := router.New(cfg, log)
	if err != nil {
		return err
	}
	if err := r.Publish(); err != nil {
		return err
	}
	var g run.Group
	if err := r.Actors(&g); err != nil {
		return err
	}
	return g.Run()
}

// logger writes events to w in the configured format, each at a bounded rate.
func logger(cfg *config.Router, w io.Writer) *slog.Logger {
	opts := &slog.HandlerOptions{Level: cfg.LogLevel}
	var h slog.Handler = slog.NewJSONHandler(w, opts)
	if cfg.LogFormat == "text" {
		h = slog.NewTextHandler(w, opts)
	}
	return slog.New(events.Limit(h, eventsPerSecond, eventsAtOnce, time.Now))
}
