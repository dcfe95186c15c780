// Package cli is what the programs' command lines have in common: the parser,
// the exit codes, and what goes to which output. Only package main and the
// command lines' own packages use it, from the main goroutine.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/windscale/windscale/internal/version"
)

// The exit codes of every program.
const (
	ExitOK     = 0
	ExitFailed = 1 // the operation failed
	ExitUsage  = 2 // wrong usage or input
)

// UsageError says that the command line can't be used as it stands.
type UsageError struct{ What string }

// Error implements error.
func (e *UsageError) Error() string { return e.What }

// NewParser returns a parser that fills opts, a pointer to a struct with the
// tags of go-flags. The help begins with description. Arguments that nothing
// takes are wrong usage, and then no command runs. Commands are described as by
// [Describe].
func NewParser(opts any, description string) *flags.Parser {
	p := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = description
	Describe(p)
	p.CommandHandler = func(command flags.Commander, rest []string) error {
		if err := NoRest(rest); err != nil || command == nil {
			return err
		}
		return command.Execute(rest)
	}
	return p
}

// exitCodes begins the last paragraph of a program's description.
const exitCodes = "Exit codes: "

// Describe gives the help of each command what the program's description says
// of it: the examples, which are its indented lines, that run the command, and
// the exit codes.
func Describe(p *flags.Parser) {
	var codes string
	if i := strings.LastIndex(p.LongDescription, exitCodes); i >= 0 {
		codes = p.LongDescription[i:]
	}
	describe(p.Commands(), "", p.LongDescription, codes)
}

// describe does so for commands; path is that of the command above them.
func describe(all []*flags.Command, path, description, codes string) {
	for _, c := range all {
		own := path + " " + c.Name
		describe(c.Commands(), own, description, codes)
		text := c.ShortDescription + ".\n\nExamples:\n"
		for line := range strings.Lines(description) {
			if strings.HasPrefix(line, "  ") && strings.Contains(strings.TrimSpace(line)+" ", own+" ") {
				text += line
			}
		}
		c.LongDescription = text + "\n" + codes
	}
}

// Version returns what a program's --version does: it prints the version and
// ends the process.
func Version(program string) func() {
	return func() {
		fmt.Println(program, version.String())
		os.Exit(ExitOK)
	}
}

// NoRest returns a [UsageError] if arguments are left that nothing takes. It is
// for programs with a command handler of their own.
func NoRest(rest []string) error {
	if len(rest) == 0 {
		return nil
	}
	return &UsageError{What: "unexpected argument " + rest[0]}
}

// ExitCode returns the exit code for err: [ExitOK] for nil and for a request
// for help, [ExitUsage] for what the parser or a [UsageError] refuses, and
// [ExitFailed] for anything else.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if e, ok := errors.AsType[*flags.Error](err); ok {
		if e.Type == flags.ErrHelp {
			return ExitOK
		}
		return ExitUsage
	}
	if _, ok := errors.AsType[*UsageError](err); ok {
		return ExitUsage
	}
	return ExitFailed
}

// Report tells the user of err, after the program's name, and returns its exit
// code. Help goes to out, all else to errOut.
func Report(program string, err error, out, errOut io.Writer) int {
	code := ExitCode(err)
	switch {
	case err == nil:
	case code == ExitOK:
		_, _ = fmt.Fprintln(out, err)
	default:
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", program, err)
	}
	return code
}
