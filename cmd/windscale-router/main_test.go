package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCommandLine(t *testing.T) {
	for args, want := range map[string]struct {
		code int
		text string // of what is printed
	}{
		"--help":                {0, "Exit codes"},
		"--version":             {0, ""},
		"--version extra":       {exitUsage, "unexpected argument extra"},
		"":                      {exitUsage, "--config is needed"},
		"--no-such-flag":        {exitUsage, "no-such-flag"},
		"--config /no/such.ini": {exitUsage, "/no/such.ini"},
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
