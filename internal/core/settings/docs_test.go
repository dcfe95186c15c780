package settings

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// docs/SETTINGS.md lists, under a heading for each kind of section, every key
// with its default, form and meaning, and no others.
func TestPageListsEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	page := string(text)
	var want []string
	for _, kind := range AllKeys() {
		want = append(want, "## ["+kind.Section+"]")
		for _, k := range kind.Keys {
			want = append(want, fmt.Sprintf("| `%s` | `%s` | %s | %s |", k.Name, k.Default, k.Form, k.Meaning))
		}
	}
	line := regexp.MustCompile("(?m)^(## \\[.*|\\| `.*)$")
	got := line.FindAllString(page, -1)
	assert.DeepEqual(t, got, want)
}

// docs/SETTINGS.md names every kind of fault that fault.go declares.
func TestPageListsEveryFault(t *testing.T) {
	source, err := os.ReadFile("fault.go")
	assert.NilError(t, err)
	declared := regexp.MustCompile(`(?m)^\tFault\w+ +FaultKind = "(.+?)"`).FindAllSubmatch(source, -1)
	assert.Equal(t, len(declared), strings.Count(string(source), "\tFault"))
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	for _, d := range declared {
		assert.Check(t, cmp.Contains(string(text), "\n- `"+string(d[1])+"`: "))
	}
}

// The example of docs/SETTINGS.md passes the checks.
func TestExampleOfThePageIsGood(t *testing.T) {
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	blocks := strings.Split(string(text), "```")
	i := slices.IndexFunc(blocks, func(b string) bool { return strings.HasPrefix(b, "ini\n") })
	s := build(t, 1, strings.TrimPrefix(blocks[i], "ini\n"))
	assert.Assert(t, len(s.Customers) > 1)
}
