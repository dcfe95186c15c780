// Command windscale-load plays callers by a plan and checks every answer byte
// for byte. See docs/STANDINS.md for the plan.
//
// It exits 0 if every answer was right, 1 if one was wrong or the run failed,
// 2 on wrong usage or a faulty plan.
package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	_ "github.com/jessevdk/go-flags" // reads the tags of the options

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/load"
)

const program = "windscale-load"

const outputJSON = "json"

const examples = `Plays callers by a plan and checks every answer byte for byte.

Examples:
  windscale-load --plan plan.ini --duration 20s --seed 1
  windscale-load --plan plan.ini --duration 1m --output json --out result.json
  windscale-load --plan plan.ini --records http://127.0.0.1:9401,http://127.0.0.1:9402

Exit codes: 0 every answer was right, 1 one was wrong or the run failed, 2 wrong usage or a faulty plan.`

type options struct {
	Version        func()        `long:"version" description:"print the version and exit"`
	Plan           string        `long:"plan" required:"true" value-name:"FILE" description:"INI file: one section per stream of callers"`
	Duration       time.Duration `long:"duration" default:"20s" description:"how long requests are sent"`
	Grace          time.Duration `long:"grace" default:"30s" description:"how long answers are awaited after that"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of the requests and their times"`
	MaxOutstanding int           `long:"max-outstanding" default:"5000" description:"requests in progress in each open loop"`
	Records        string        `long:"records" description:"backend servers, http://IP:port separated by commas, whose records are compared at the end"`
	Output         string        `long:"output" default:"table" choice:"table" choice:"json" description:"form of the report"`
	Out            string        `long:"out" description:"file for the report in JSON, beside what is printed"`
}

func main() {
	var opts options
	opts.Version = cli.Version(program)
	_, err := cli.NewParser(&opts, examples).Parse()
	if err == nil {
		err = opts.check()
	}
	if err != nil {
		os.Exit(cli.Report(program, err, os.Stdout, os.Stderr))
	}
	os.Exit(play(opts))
}

func (o options) check() error {
	switch {
	case o.Duration <= 0 || o.MaxOutstanding <= 0:
		return &cli.UsageError{What: "--duration and --max-outstanding must be above 0"}
	case o.Grace < 0:
		return &cli.UsageError{What: "--grace must not be below 0"}
	}
	return nil
}

// play runs the plan and returns the exit code.
func play(opts options) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	fail := func(code int, err error) int {
		events.ProcessFailed.Log(ctx, log, slog.LevelError, "err", err)
		return code
	}
	data, err := os.ReadFile(opts.Plan)
	if err != nil {
		return fail(cli.ExitUsage, err)
	}
	sections, err := load.ParsePlan(data)
	if err != nil {
		return fail(cli.ExitUsage, err)
	}
	report, err := load.Run(ctx, sections, opts.load())
	if err != nil {
		return fail(cli.ExitFailed, err)
	}
	events.LoadEnded.Log(ctx, log, slog.LevelInfo, "wrong", report.Wrong)
	if err := opts.write(report); err != nil {
		return fail(cli.ExitFailed, err)
	}
	if report.Wrong > 0 {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

func (o options) load() load.Options {
	out := load.Options{Duration: o.Duration, Grace: o.Grace, Seed: o.Seed, MaxOutstanding: o.MaxOutstanding}
	for url := range strings.SplitSeq(o.Records, ",") {
		if url = strings.TrimSuffix(strings.TrimSpace(url), "/"); url != "" {
			out.Records = append(out.Records, url)
		}
	}
	return out
}

func (o options) write(report *load.Report) error {
	if o.Out != "" {
		if err := writeFile(o.Out, report); err != nil {
			return err
		}
	}
	if o.Output == outputJSON {
		return writeJSON(os.Stdout, report)
	}
	return report.WriteTable(os.Stdout)
}

func writeFile(name string, report *load.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := writeJSON(file, report); err != nil {
		_ = file.Close() // the first failure tells
		return err
	}
	return file.Close()
}

func writeJSON(w io.Writer, report *load.Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}
