package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// failure is what the command under test returns.
type failure struct{}

func (failure) Error() string { return "no such luck" }

type runCommand struct {
	Fail bool                  `long:"fail"`
	Args struct{ File string } `positional-args:"yes"`
	ran  bool
}

func (c *runCommand) Execute([]string) error {
	c.ran = true
	if c.Fail {
		return errors.Annotate(failure{}, "run")
	}
	return nil
}

func TestExitCodesAndOutputs(t *testing.T) {
	cases := []struct {
		args     string
		code     int
		ran      bool
		out, err string // parts of what is printed
	}{
		{"run", ExitOK, true, "", ""},
		{"run file", ExitOK, true, "", ""},
		{"--help", ExitOK, false, "What it does.", ""},
		{"run --help", ExitOK, false, "--fail", ""},
		{"run --fail", ExitFailed, true, "", "prog: run: no such luck\n"},
		{"", ExitUsage, false, "", "prog: "},
		{"jump", ExitUsage, false, "", "jump"},
		{"run file other", ExitUsage, false, "", "unexpected argument other"},
		{"run --far", ExitUsage, false, "", "far"},
	}
	for _, c := range cases {
		var opts struct {
			Run runCommand `command:"run"`
		}
		_, err := NewParser(&opts, "What it does.").ParseArgs(strings.Fields(c.args))
		var out, errOut bytes.Buffer
		assert.Equal(t, Report("prog", err, &out, &errOut), c.code, c.args)
		assert.Equal(t, opts.Run.ran, c.ran, c.args)
		assert.Check(t, strings.Contains(out.String(), c.out), c.args)
		assert.Check(t, strings.Contains(errOut.String(), c.err), c.args)
		assert.Equal(t, c.out == "", out.Len() == 0, c.args)
		assert.Equal(t, c.err == "", errOut.Len() == 0, c.args)
	}
}

func TestRestWithoutCommands(t *testing.T) {
	var opts struct {
		N int `long:"n"`
	}
	_, err := NewParser(&opts, "").ParseArgs([]string{"--n", "1"})
	assert.NilError(t, err)
	for _, args := range [][]string{{"extra"}, {"--n", "1", "extra"}, {"--", "extra"}} {
		_, err := NewParser(&opts, "").ParseArgs(args)
		assert.Equal(t, ExitCode(err), ExitUsage, "%v", args)
	}
}

func TestCommandsAreDescribed(t *testing.T) {
	var opts struct {
		Run  runCommand `command:"run" description:"run a file"`
		Jump struct {
			High runCommand `command:"high" description:"jump high"`
		} `command:"jump" description:"jump over a file"`
	}
	p := NewParser(&opts, "Runs and jumps.\n\nExamples:\n  prog run a\n  prog --x 1 jump high b\n  prog run c\n\nExit codes: 0 good, 1 bad.")
	assert.Equal(t, p.Find("run").LongDescription, "run a file.\n\nExamples:\n  prog run a\n  prog run c\n\nExit codes: 0 good, 1 bad.")
	assert.Equal(t, p.Find("jump").Find("high").LongDescription, "jump high.\n\nExamples:\n  prog --x 1 jump high b\n\nExit codes: 0 good, 1 bad.")
}

func TestExitCodeLooksThroughWrapping(t *testing.T) {
	assert.Equal(t, ExitCode(errors.Trace(&UsageError{What: "--n"})), ExitUsage)
	assert.Equal(t, ExitCode(errors.Trace(&flags.Error{Type: flags.ErrRequired})), ExitUsage)
	assert.Equal(t, ExitCode(errors.Trace(failure{})), ExitFailed)
}
