package main

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	_ "github.com/jessevdk/go-flags" // reads the tags of the options
	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/adminclient"
	"github.com/windscale/windscale/internal/burn"
	coreburn "github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/settingsstore"
)

const (
	clearScreen = "\033[H\033[2J"
	outMode     = 0o644
)

type options struct {
	Platform string        `long:"platform" value-name:"URL" description:"the platform, for the host list and the settings"`
	Routers  []string      `long:"router" value-name:"URL" description:"base URL of a router's admin listener; repeated. Default: the routers of the host list"`
	Settings string        `long:"settings" value-name:"FILE" description:"settings text with the objectives. Default: the version in force"`
	Version  func()        `long:"version" description:"print the version and exit"`
	Output   string        `long:"output" choice:"table" choice:"json" choice:"html" description:"form of the report"`
	Out      string        `long:"out" value-name:"FILE" description:"write the report to this file"`
	Samples  string        `long:"samples" value-name:"FILE" description:"keep the readings in this file between runs"`
	Watch    bool          `long:"watch" description:"go on reading and reporting until interrupted"`
	Interval time.Duration `long:"interval" description:"between two readings"`
	Readings int           `long:"readings" description:"readings to take without --watch. Default: 1 if the samples file holds some, else 2"`
	Timeout  time.Duration `long:"timeout" description:"for reading one router, or the platform"`

	Admin adminclient.Options `group:"Routers' admin listeners"`
}

func defaults() options {
	return options{
		Output:   "table",
		Interval: 15 * time.Second,
		Timeout:  5 * time.Second,
	}
}

// MissingSourceError says that the flags name no source for something.
type MissingSourceError struct{ What string }

// Error implements error.
func (e *MissingSourceError) Error() string {
	return "--platform is needed to find the " + e.What
}

// NoSettingsError says that the platform holds no settings yet.
type NoSettingsError struct{}

// Error implements error.
func (e *NoSettingsError) Error() string { return "no settings have been accepted yet" }

// reporter reads and reports. One goroutine uses it.
type reporter struct {
	opts     options
	log      *slog.Logger
	targets  burn.Targets
	scraper  *burn.Scraper
	store    *settingsstore.Store // nil: the settings are a file's
	history  *coreburn.History
	promises map[msg.CustomerID]coreburn.SLO
}

func newReporter(ctx context.Context, opts options, log *slog.Logger) (*reporter, error) {
	admin, err := adminclient.New(opts.Admin)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &reporter{opts: opts, log: log, scraper: &burn.Scraper{
		Token:   admin.Token(),
		For:     admin.HTTP,
		Timeout: opts.Timeout,
	}}
	if err := r.sources(ctx, admin.Scheme()); err != nil {
		return nil, err
	}
	r.history = coreburn.New()
	if opts.Samples != "" {
		r.history, err = burn.Load(opts.Samples)
	}
	return r, errors.Trace(err)
}

// SchemeError says that a router's URL has not the scheme that the flags ask
// for: https with --ca, http without.
type SchemeError struct{ URL, Scheme string }

// Error implements error.
func (e *SchemeError) Error() string {
	return "--router " + e.URL + ": with these flags it must begin with " + e.Scheme + "://"
}

// sources chooses where the routers and the objectives come from. Routers are
// asked with the given scheme.
func (r *reporter) sources(ctx context.Context, scheme string) error {
	client := httpplatform.New(r.opts.Platform, nil)
	switch {
	case len(r.opts.Routers) > 0:
		var list []burn.Target
		for _, url := range r.opts.Routers {
			if !strings.HasPrefix(url, scheme+"://") {
				return &SchemeError{URL: url, Scheme: scheme}
			}
			list = append(list, burn.Target{URL: strings.TrimSuffix(url, "/")})
		}
		r.targets = burn.Fixed(list)
	case r.opts.Platform == "":
		return &MissingSourceError{What: "routers (or --router)"}
	default:
		r.targets = burn.Latest(burn.Listed(client, scheme), func(err error) {
			events.BurnHostList.Log(ctx, r.log, slog.LevelWarn, "err", err.Error())
		})
	}
	switch {
	case r.opts.Settings != "":
		return r.settingsFile()
	case r.opts.Platform == "":
		return &MissingSourceError{What: "objectives (or --settings)"}
	default:
		r.store = settingsstore.New(client, client)
		return nil
	}
}

func (r *reporter) settingsFile() error {
	source, err := os.ReadFile(r.opts.Settings)
	if err != nil {
		return errors.Annotate(err, "settings")
	}
	snap, faults := settings.Build(0, source)
	if len(faults) > 0 {
		return errors.Annotate(faults[0], r.opts.Settings)
	}
	r.promises = burn.Promises(snap)
	return nil
}

// readings is how many readings a run without --watch takes.
func (r *reporter) readings() int {
	switch {
	case r.opts.Readings > 0:
		return r.opts.Readings
	case len(r.history.State().Checkpoints) > 0:
		return 1
	default:
		return 2
	}
}

// run reads and reports, once or until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	readings := r.readings()
	for n := 1; ; n++ {
		if err := r.read(ctx); err != nil {
			return err
		}
		last := !r.opts.Watch && n >= readings
		if last || r.opts.Watch {
			if err := r.write(); err != nil {
				return err
			}
		}
		if last {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(r.opts.Interval):
		}
	}
}

// read takes one reading of all routers.
func (r *reporter) read(ctx context.Context) error {
	if err := r.objectives(ctx); err != nil {
		return err
	}
	within, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	targets, err := r.targets(within)
	cancel()
	if err != nil {
		return errors.Annotate(err, "host list")
	}
	round, failures := r.scraper.Scrape(ctx, targets, time.Now())
	for _, f := range failures {
		events.BurnRouterMissing.Log(ctx, r.log, slog.LevelWarn, "router", f.Router, "err", f.Err.Error())
	}
	if err := r.history.Add(round); err != nil {
		return errors.Trace(err)
	}
	if r.opts.Samples == "" {
		return nil
	}
	return errors.Annotate(burn.Save(r.opts.Samples, r.history), "samples file")
}

// objectives takes the objectives of the settings in force. Once it had any,
// it goes on with them while the platform is down.
func (r *reporter) objectives(ctx context.Context) error {
	if r.store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	snap, err := r.inForce(ctx)
	if err == nil {
		r.promises = burn.Promises(snap)
		return nil
	}
	if r.promises == nil {
		return errors.Annotate(err, "settings")
	}
	events.BurnSettings.Log(ctx, r.log, slog.LevelWarn, "err", err.Error())
	return nil
}

func (r *reporter) inForce(ctx context.Context) (*settings.Snapshot, error) {
	head, err := r.store.Head(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if head == nil {
		return nil, &NoSettingsError{}
	}
	return r.store.Snapshot(ctx, head)
}

// write writes the report to where it is wanted.
func (r *reporter) write() error {
	var b bytes.Buffer
	if err := r.render(&b); err != nil {
		return errors.Trace(err)
	}
	if r.opts.Out != "" {
		return errors.Trace(os.WriteFile(r.opts.Out, b.Bytes(), outMode))
	}
	if r.opts.Watch && r.opts.Output == "table" {
		if _, err := io.WriteString(os.Stdout, clearScreen); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := b.WriteTo(os.Stdout)
	return errors.Trace(err)
}

func (r *reporter) render(w io.Writer) error {
	switch r.opts.Output {
	case "html":
		return burn.HTML(w, r.history, r.promises)
	case "json":
		return burn.JSON(w, r.history.Report(r.promises))
	default:
		return burn.Table(w, r.history.Report(r.promises))
	}
}
