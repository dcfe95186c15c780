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

// docs/SETTINGS.md must list, under a heading for each kind of section, every key
// with its default, format and meaning, and no other keys.
func TestDocsListEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	page := string(text)
	var want []string
	for _, kind := range AllKeys() {
		want = append(want, "## ["+kind.Section+"]")
		for _, k := range kind.Keys {
			want = append(want, fmt.Sprintf("| `%s` | `%s` | %s | %s |", k.Name, k.Default, k.Format, k.Meaning))
		}
	}
	line := regexp.MustCompile("(?m)^(## \\[.*|\\| `.*)$")
	got := line.FindAllString(page, -1)
	assert.DeepEqual(t, got, want)
}

// docs/SETTINGS.md must list every kind of fault that fault.go declares.
func TestDocsListEveryFault(t *testing.T) {
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

// The example in docs/SETTINGS.md must be valid.
func TestDocsExampleIsValid(t *testing.T) {
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	blocks := strings.Split(string(text), "```")
	i := slices.IndexFunc(blocks, func(b string) bool { return strings.HasPrefix(b, "ini\n") })
	s := mustBuild(t, 1, strings.TrimPrefix(blocks[i], "ini\n"))
	assert.Assert(t, len(s.Customers) > 1)
}
