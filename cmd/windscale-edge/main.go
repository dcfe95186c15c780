// Command windscale-edge runs one router on the users' platform. It accepts callers' connections and
// forwards their requests to the backend servers.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure while running, 2 for invalid arguments
// or settings.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/oklog/run"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/edge/node"
	"github.com/windscale/windscale/internal/edge/settings"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/logpipe"
	"github.com/windscale/windscale/internal/version"
	"github.com/windscale/windscale/platform"
)

const program = "windscale-edge"

const help = `Runs one router on the users' platform. The settings file is given by --settings, or
by the environment variable that the platform sets. The router serves until SIGTERM,
which shuts it down gracefully. SIGHUP makes it reload the settings file.

Examples:
  windscale-edge --settings edge.ini --check
  windscale-edge --settings edge.ini

Exit codes: 0 graceful shutdown, 1 failure while running, 2 invalid arguments or settings.`

// memoryLimitFraction is the fraction of the configured memory limit, above which the process is
// killed, that is set as the Go runtime's soft memory limit. Near the soft limit the garbage collector
// runs more often.
const memoryLimitFraction = 0.6

// gcPercent is how much the heap may grow between two garbage collections, in percent (GOGC).
const gcPercent = 100

// options are the command-line options.
type options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"the settings file; otherwise the platform's environment names it"`
	Check    bool   `long:"check" description:"check the settings, print every fault, and end"`
	Version  bool   `long:"version" description:"print the version and end"`
}

func main() { os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr)) }

// runCommand parses the arguments, runs the router and returns the exit code.
func runCommand(args []string, out, errOut io.Writer) int {
	var o options
	if _, err := cli.NewParser(&o, help).ParseArgs(args); err != nil {
		return cli.Report(program, err, out, errOut)
	}
	if o.Version {
		_, _ = fmt.Fprintln(out, version.String())
		return cli.ExitOK
	}
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.EnvSettingsFile)
	}
	if path == "" {
		_, _ = fmt.Fprintln(errOut, program+": no settings file; see --help")
		return cli.ExitUsage
	}
	s, err := settings.Load(path)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return cli.ExitUsage
	}
	if o.Check {
		_, _ = fmt.Fprintln(out, path+": no faults")
		return cli.ExitOK
	}
	return serve(path, s, out)
}

// serve runs the router until it has drained or failed.
func serve(path string, s *settings.Settings, out io.Writer) int {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryLimitFraction))
	debug.SetGCPercent(gcPercent)
	level := new(slog.LevelVar)
	level.Set(s.LogLevel)
	pipe := logpipe.New(out)
	log := slog.New(slog.NewJSONHandler(pipe, &slog.HandlerOptions{Level: level})).With("host", s.Name)
	ctx, cancel := context.WithCancel(context.Background())
	logWritten := make(chan struct{})
	go func() {
		defer close(logWritten)
		_ = pipe.Run(ctx, log) // returns when ctx is cancelled
	}()
	code := runNode(path, s, level, log, pipe)
	cancel()
	<-logWritten
	return code
}

// runNode runs the router's actors until one of them ends, and returns the exit code.
func runNode(path string, s *settings.Settings, level *slog.LevelVar, log *slog.Logger, pipe *logpipe.Pipe) int {
	events.ProcessStarted.Log(context.Background(), log, slog.LevelInfo, "version", version.String(), "dataCentre", s.DataCentre)
	hup := make(chan os.Signal, 1)
	term := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	n, err := node.New(path, s, level, log, pipe.Dropped)
	if err != nil {
		events.ProcessFailed.Log(context.Background(), log, slog.LevelError, "err", err)
		return cli.ExitFailed
	}
	var g run.Group
	n.Actors(&g, hup, term)
	if err := g.Run(); err != nil {
		events.ProcessFailed.Log(context.Background(), log, slog.LevelError, "err", err)
		return cli.ExitFailed
	}
	return cli.ExitOK
}
