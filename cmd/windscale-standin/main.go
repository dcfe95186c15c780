// Command windscale-standin runs one of the small stand-ins that take the
// place of the platform and of the backend servers in tests and trials. See
// docs/STANDINS.md.
//
// It exits 0 after a graceful end, 1 when it failed, 2 on wrong usage.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/events"
)

const programName = "windscale-standin"

const examples = `Stand-ins for the platform and for backend servers.

Examples:
  windscale-standin platform --listen 127.0.0.1:9000 --list-lag 1s
  windscale-standin engine --listen 127.0.0.1:9301 --id e1 --models plan-7b,claims-13b --slots 8 --rate 200
  windscale-standin service --listen 127.0.0.1:9401 --id d1 --name dispatch --slots 4 --delay 5ms
  curl -X POST -d '{"service":"table","mode":"down"}' http://127.0.0.1:9000/_fault

SIGTERM or SIGINT ends it gracefully: what runs is finished first.
Exit codes: 0 ended gracefully, 1 failed, 2 wrong usage.`

type options struct {
	Version  func()          `long:"version" description:"print the version and exit"`
	Platform platformCommand `command:"platform" description:"table, object store and host list"`
	Engine   engineCommand   `command:"engine" description:"a model engine"`
	Service  serviceCommand  `command:"service" description:"a plain service"`
}

func main() {
	var opts options
	opts.Version = cli.Version(programName)
	_, err := cli.NewParser(&opts, examples).Parse()
	os.Exit(exitCode(err))
}

// exitCode tells the user of a failure and returns the exit code. What fails
// after the start is logged as an event.
func exitCode(err error) int {
	if cli.ExitCode(err) != cli.ExitFailed {
		return cli.Report(programName, err, os.Stdout, os.Stderr)
	}
	events.ProcessFailed.Log(context.Background(), logger(), slog.LevelError, "err", err)
	return cli.ExitFailed
}

func logger() *slog.Logger { return slog.New(slog.NewJSONHandler(os.Stderr, nil)) }
