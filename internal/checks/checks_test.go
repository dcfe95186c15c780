// Package checks holds the house rules that the compiler does not: what the
// core may import, that failures are typed, that logged events are in the
// catalogue.
package checks

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../.."

// sources parses every Go file below dir that is no test.
func sources(t *testing.T, dir string) map[string]*ast.File {
	t.Helper()
	files := map[string]*ast.File{}
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		files[path] = f
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no sources below %s", dir)
	return files
}

// calls reports each call of pkg.name.
func calls(f *ast.File, pkg string, names ...string) []string {
	var found []string
	ast.Inspect(f, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		x, ok := sel.X.(*ast.Ident)
		if !ok || x.Name != pkg {
			return true
		}
		for _, name := range names {
			if sel.Sel.Name == name {
				found = append(found, pkg+"."+name)
			}
		}
		return true
	})
	return found
}

// coreMayNot are the imports that would give the core input, output, locks or
// a clock.
var coreMayNot = regexp.MustCompile(`^(net($|/)|os($|/)|io/fs|syscall|context|sync($|/)|log($|/)|runtime|crypto/rand|crypto/tls|expvar|github.com/quic-go/|github.com/labstack/|golang.org/x/sync)`)

func TestCoreHasNoInputOrOutput(t *testing.T) {
	for path, f := range sources(t, "internal/core") {
		for _, imp := range f.Imports {
			name, err := strconv.Unquote(imp.Path.Value)
			assert.NilError(t, err)
			assert.Check(t, !coreMayNot.MatchString(name), "%s imports %s", path, name)
			inRepo := strings.HasPrefix(name, "github.com/windscale/windscale/")
			assert.Check(t, !inRepo || strings.HasPrefix(name, "github.com/windscale/windscale/internal/core/"),
				"%s imports %s, which is outside the core", path, name)
		}
		clock := calls(f, "time", "Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick")
		assert.Check(t, len(clock) == 0, "%s reads the clock: %v", path, clock)
		ast.Inspect(f, func(n ast.Node) bool {
			_, goes := n.(*ast.GoStmt)
			assert.Check(t, !goes, "%s starts a goroutine", path)
			return true
		})
	}
}

func TestFailuresAreTyped(t *testing.T) {
	for _, dir := range []string{"internal", "cmd", "platform"} {
		for path, f := range sources(t, dir) {
			bare := append(calls(f, "errors", "New", "Errorf"), calls(f, "fmt", "Errorf")...)
			assert.Check(t, len(bare) == 0, "%s: %v", path, bare)
		}
	}
}

// platformWords are names of the users' platform that no code outside its folder
// may use.
var platformWords = regexp.MustCompile(`X-Windscale-|Last-Event-Id|Kv-Fetch|/v1/(ready|rows-|blob-|report|kv-|hold-)|WINDSCALE_NODE_FILE|(?i:kvCapacityTokens|streamResume|targetLatencyMs|gapAimMs|warmupLeftMs|apiKeys|stickySessions)`)

// Only the folder platform knows the platform's headers, paths and fields; the
// template of the settings and the deploy file are the platform's own forms.
func TestOnlyPlatformKnowsThePlatform(t *testing.T) {
	for _, dir := range []string{"internal", "cmd", "test"} {
		for path, f := range sources(t, dir) {
			ast.Inspect(f, func(n ast.Node) bool {
				lit, ok := n.(*ast.BasicLit)
				if !ok || lit.Kind != token.STRING {
					return true
				}
				assert.Check(t, !platformWords.MatchString(lit.Value), "%s: %s", path, lit.Value)
				return true
			})
		}
	}
}

// eventsInCode reads the Event literals of internal/events.
func eventsInCode(t *testing.T) map[int]string {
	t.Helper()
	got := map[int]string{}
	for path, f := range sources(t, "internal/events") {
		ast.Inspect(f, func(n ast.Node) bool {
			lit, ok := n.(*ast.CompositeLit)
			if !ok {
				return true
			}
			if id, ok := lit.Type.(*ast.Ident); !ok || id.Name != "Event" {
				return true
			}
			num, err := strconv.Atoi(lit.Elts[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			name, err := strconv.Unquote(lit.Elts[1].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			assert.Check(t, got[num] == "", "%s: event %d stands twice", path, num)
			got[num] = name
			return true
		})
	}
	return got
}

// eventNames are the variables of internal/events.
func eventNames(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, f := range sources(t, "internal/events") {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Values) == 0 {
				return true
			}
			if lit, ok := spec.Values[0].(*ast.CompositeLit); ok {
				if id, ok := lit.Type.(*ast.Ident); ok && id.Name == "Event" {
					names = append(names, spec.Names[0].Name)
				}
			}
			return true
		})
	}
	return names
}

// An event in the catalogue that nothing logs misleads whoever waits for it.
func TestEveryEventIsLogged(t *testing.T) {
	names := eventNames(t)
	assert.Assert(t, len(names) > 0)
	logged := map[string]bool{}
	for _, dir := range []string{"internal", "cmd"} {
		for _, f := range sources(t, dir) {
			for _, call := range calls(f, "events", names...) {
				logged[strings.TrimPrefix(call, "events.")] = true
			}
		}
	}
	for _, name := range names {
		assert.Check(t, logged[name], "events.%s is never logged", name)
	}
}

func TestEventCatalogueIsComplete(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/EVENTS.md"))
	assert.NilError(t, err)
	inPage := map[int]string{}
	row := regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$`)
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		num, err := strconv.Atoi(m[1])
		assert.NilError(t, err)
		assert.Check(t, inPage[num] == "", "event %d stands twice in the page", num)
		inPage[num] = m[2]
	}
	code := eventsInCode(t)
	assert.Check(t, len(code) > 0)
	for num, name := range code {
		assert.Check(t, inPage[num] == name, fmt.Sprintf("event %d %q is %q in docs/EVENTS.md", num, name, inPage[num]))
	}
	for num := range inPage {
		assert.Check(t, code[num] != "", "docs/EVENTS.md has event %d, the code does not", num)
	}
}

// What callers are told to expect is what the entry and the proxy can answer.
func TestEveryProblemIsGiven(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "internal/problem/problem.go"), nil, 0)
	assert.NilError(t, err)
	given := map[string]bool{}
	for _, dir := range []string{"internal/entry", "internal/proxy"} {
		for _, source := range sources(t, dir) {
			ast.Inspect(source, func(n ast.Node) bool {
				if sel, ok := n.(*ast.SelectorExpr); ok && fmt.Sprint(sel.X) == "problem" {
					given[sel.Sel.Name] = true
				}
				return true
			})
		}
	}
	all, ok := f.Scope.Lookup("All").Decl.(*ast.ValueSpec).Values[0].(*ast.CompositeLit)
	assert.Assert(t, ok && len(all.Elts) > 0)
	for _, typ := range all.Elts {
		assert.Check(t, given[fmt.Sprint(typ)], "no caller is ever answered problem.%s", typ)
	}
}
