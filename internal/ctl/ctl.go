// Package ctl is the operators' command line, windscalectl: one file for each
// command. It speaks to the platform and to the routers' admin listeners; it
// keeps nothing.
package ctl

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/windscale/windscale/internal/adminclient"
	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/settingsstore"
)

const callTimeout = 10 * time.Second // of one call to the platform

const examples = `See and change a fleet of routers.

Examples:
  windscalectl settings check fleet.ini
  windscalectl --platform http://10.0.0.9:9000 settings diff fleet.ini
  windscalectl settings apply fleet.ini --base 12 --note "more for claims"
  windscalectl settings show 11
  windscalectl settings history
  windscalectl settings rollback 11 --base 12
  windscalectl settings key
  windscalectl customer effective trasladar/claims-desk
  windscalectl status --output json
  windscalectl backend list
  windscalectl top --for 10s
  windscalectl explain trasladar/claims-desk
  windscalectl explain 9c41d07be2a35f68 --logs edge-1.log --logs edge-2.log
  windscalectl drain r3 --wait 5m
  windscalectl --ca ca.pem --cert ana.pem --key ana-key.pem status

--platform and --admin-token-file may be given in the environment, as
WINDSCALE_PLATFORM and WINDSCALE_ADMIN_TOKEN_FILE; --ca, --cert and --key as
WINDSCALE_ADMIN_CA, WINDSCALE_ADMIN_CERT and WINDSCALE_ADMIN_KEY.

With --ca the routers' admin listeners are asked by HTTPS (admin_tls = true in
each router's own file), and each must prove the ID of its row in the host
list. A router refuses what comes with neither the token nor an operator's
certificate.

Exit codes: 0 done, 1 the operation failed, 2 wrong usage or input.`

// options are the flags before any command.
type options struct {
	Version  bool   `long:"version" description:"print the version and exit"`
	Platform string `long:"platform" env:"WINDSCALE_PLATFORM" value-name:"URL" description:"where the platform's services are"`
	Output   string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`

	Admin adminclient.Options `group:"Routers' admin listeners"`

	Settings settingsCommands `command:"settings" description:"check, change and show the settings"`
	Customer customerCommands `command:"customer" description:"show what holds for a customer"`
	Backend  backendCommands  `command:"backend" description:"show the backend servers"`
	Status   statusCommand    `command:"status" description:"show the routers and the settings that they have in force"`
	Drain    drainCommand     `command:"drain" description:"shut a router down without cutting requests"`
	Top      topCommand       `command:"top" description:"show what customers get and wait for"`
	Explain  explainCommand   `command:"explain" description:"say why a customer's requests wait, or what became of a request"`
}

type settingsCommands struct {
	Check    checkCommand    `command:"check" description:"check a file"`
	Diff     diffCommand     `command:"diff" description:"show what a file would change"`
	Apply    applyCommand    `command:"apply" description:"put a file in force on every router"`
	Show     showCommand     `command:"show" description:"print the text of a version"`
	History  historyCommand  `command:"history" description:"list the accepted versions"`
	Rollback rollbackCommand `command:"rollback" description:"put an earlier version's text in force again"`
	Key      keyCommand      `command:"key" description:"make a customer's key and its SHA-256"`
}

type customerCommands struct {
	Effective effectiveCommand `command:"effective" description:"show each value with the section it comes from"`
}

type backendCommands struct {
	List backendListCommand `command:"list" description:"list the backend servers"`
}

// command is what a command does.
type command interface {
	run(ctx context.Context, a *app) error
}

// deferred is embedded in commands: go-flags wants Execute, but run is called
// by the parser's handler.
type deferred struct{}

// Execute implements flags.Commander and does nothing.
func (deferred) Execute([]string) error { return nil }

// app is what commands run with.
type app struct {
	opts options
	out  io.Writer // results
	note io.Writer // progress and failures
	http *http.Client

	adminOnce   sync.Once
	adminClient *adminclient.Client
	adminErr    error
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, note io.Writer) int {
	a := &app{out: out, note: note, http: &http.Client{}}
	parser := flags.NewNamedParser("windscalectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = examples
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", &a.opts); err != nil {
		return a.fail(err)
	}
	cli.Describe(parser)
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if err := cli.NoRest(rest); err != nil {
			return err
		}
		if a.opts.Version {
			return a.printVersion()
		}
		if c, ok := c.(command); ok {
			return c.run(ctx, a)
		}
		return &cli.UsageError{What: "name a command; see --help"}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return a.fail(err)
	}
	return cli.ExitOK
}

// platform returns the adapter for the platform.
func (a *app) platform() (*httpplatform.Client, error) {
	if a.opts.Platform == "" {
		return nil, &cli.UsageError{What: "--platform is needed"}
	}
	return httpplatform.New(a.opts.Platform, a.http), nil
}

func (a *app) store() (*settingsstore.Store, error) {
	p, err := a.platform()
	if err != nil {
		return nil, err
	}
	return settingsstore.New(p, p), nil
}

// fail reports an error and returns its exit code.
func (a *app) fail(err error) int {
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		a.printf(a.out, "%s\n", help.Message)
		return cli.ExitOK
	}
	a.report(err)
	return exitCode(err)
}

// exitCode is that of package cli, but for the failures that are the input's.
func exitCode(err error) int {
	var invalid *settingsstore.InvalidError
	var missing *settingsstore.NoVersionError
	var input *InputError
	switch {
	case errors.As(err, &missing), errors.As(err, &input):
		return cli.ExitUsage
	case errors.As(err, &invalid) && invalid.Version == 0:
		return cli.ExitUsage
	}
	return cli.ExitCode(err)
}
