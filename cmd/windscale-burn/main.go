// Command windscale-burn reports the service-level burn of every customer and
// group, out of the counters of all routers. See docs/OPERATIONS.md.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/windscale/windscale/internal/cli"
)

const program = "windscale-burn"

const description = `Reports the service-level burn of every customer and group.

A burn rate is the share of bad outcomes over the share that the objective
allows. It is shown over 5 min, 30 min, 1 h, 6 h and 3 d; an alarm needs both
windows of a pair (5 min/1 h, 30 min/6 h, 6 h/3 d). A window that the readings
do not cover is marked as partial. Routers that could not be read and restarts
are listed, and never counted as zero.

Two readings are needed at least. With --samples the readings last from one run
to the next; with --watch the command goes on reading.

With --ca the routers are asked by HTTPS, and each must prove the ID of its row
in the host list; one given by --router may be any router of the fleet.

Examples:
  windscale-burn --platform http://127.0.0.1:9000 --admin-token-file token --samples burn.samples
  windscale-burn --platform http://127.0.0.1:9000 --admin-token-file token --watch
  windscale-burn --router http://127.0.0.1:9201 --settings settings.ini --admin-token-file token --output html --out burn.html
  windscale-burn --platform http://127.0.0.1:9000 --ca ca.pem --cert ana.pem --key ana-key.pem --watch

Exit codes: 0 reported, 1 failed, 2 wrong usage or input.`

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	opts := defaults()
	opts.Version = cli.Version(program)
	if _, err := cli.NewParser(&opts, description).ParseArgs(args); err != nil {
		return cli.Report(program, err, os.Stdout, os.Stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	r, err := newReporter(ctx, opts, log)
	if err != nil { // only flags and files were read yet
		return cli.Report(program, &cli.UsageError{What: err.Error()}, os.Stdout, os.Stderr)
	}
	return cli.Report(program, r.run(ctx), os.Stdout, os.Stderr)
}
