package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/lab"
)

const scenario = "../../deploy/lab/silent.ini"

// The same seeds give the same bytes: a line a play, and one more that compares.
func TestTheSameSeedsGiveTheSameBytes(t *testing.T) {
	args := []string{"--policy", "product,two-at-random", "--seeds", "2", scenario}
	var first, second, complaints bytes.Buffer
	assert.Equal(t, run(args, &first, &complaints), cli.ExitOK, "%s", complaints.String())
	assert.Equal(t, run(args, &second, &complaints), cli.ExitOK)
	assert.Equal(t, first.String(), second.String())
	lines := strings.Split(strings.TrimSpace(first.String()), "\n")
	assert.Equal(t, len(lines), 5)
	var d lab.Difference
	assert.NilError(t, json.Unmarshal([]byte(lines[4]), &d))
	assert.Equal(t, d.Seeds, 2)
	assert.Equal(t, d.Policy, "two-at-random")
}

func TestWrongUsageIsTold(t *testing.T) {
	for name, args := range map[string][]string{
		"no file":          {},
		"no such file":     {"none.ini"},
		"no such policy":   {"--policy", "best", scenario},
		"one seed":         {"--policy", "product,random", "--seeds", "1", scenario},
		"against itself":   {"--policy", "random,random", scenario},
		"more than a file": {scenario, scenario},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			assert.Equal(t, run(args, &out, &errOut), cli.ExitUsage, "%s", errOut.String())
			assert.Equal(t, out.Len(), 0)
			assert.Assert(t, errOut.Len() > 0)
		})
	}
	var out, errOut bytes.Buffer
	assert.Equal(t, run([]string{"--check", scenario}, &out, &errOut), cli.ExitOK)
}
