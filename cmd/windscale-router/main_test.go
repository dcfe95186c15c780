package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/cli"
)

func TestCommandLine(t *testing.T) {
	for args, want := range map[string]struct {
		code int
		text string // of what is printed
	}{
		"--help":                {0, "Exit codes"},
		"--version":             {0, ""},
		"--version extra":       {cli.ExitUsage, "unexpected argument extra"},
		"":                      {cli.ExitUsage, "--config is needed"},
		"--no-such-flag":        {cli.ExitUsage, "no-such-flag"},
		"--config /no/such.ini": {cli.ExitUsage, "/no/such.ini"},
	} {
		var out, errOut bytes.Buffer
		code := command(strings.Fields(args), &out, &errOut)
		assert.Equal(t, code, want.code, args)
		printed, silent := &errOut, &out
		if code == 0 {
			printed, silent = &out, &errOut
		}
		assert.Check(t, strings.Contains(printed.String(), want.text), "%q: %s", args, printed)
		assert.Equal(t, silent.Len(), 0, args)
	}
}
