package ctl

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/windscale/windscale/internal/cli"
)

// Each command stands in the examples of --help, and has examples and the exit
// codes in its own.
func TestHelpShowsEachCommand(t *testing.T) {
	help := func(args ...string) string {
		var out, note strings.Builder
		assert.Equal(t, Run(t.Context(), append(args, "--help"), &out, &note), cli.ExitOK, note.String())
		return out.String()
	}
	whole := help()
	for _, c := range []string{
		"settings check", "settings diff", "settings apply", "settings show", "settings history", "settings rollback",
		"settings key", "customer effective", "status", "backend list", "top", "explain", "drain",
	} {
		assert.Assert(t, cmp.Contains(whole, " "+c))
		own := help(strings.Fields(c)...)
		assert.Assert(t, cmp.Contains(own, "Examples:\nwindscalectl "))
		assert.Assert(t, cmp.Contains(own, "Exit codes: "))
	}
}
