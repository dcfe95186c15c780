package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/settingsstore"
	"github.com/windscale/windscale/internal/version"
)

// printf writes to the terminal; there is nobody to tell of its failure.
func (a *app) printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

func (a *app) json() bool { return a.opts.Output == "json" }

// show prints v as JSON, or as the table that rows makes of it.
func (a *app) show(v any, head string, rows func(add func(cells ...any))) error {
	if a.json() {
		return a.showJSON(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	a.printf(w, "%s\n", strings.ReplaceAll(head, " ", "\t"))
	rows(func(cells ...any) {
		a.printf(w, "%s\n", strings.TrimSuffix(fmt.Sprintln(tabbed(cells)...), "\n"))
	})
	return w.Flush()
}

// tabbed puts tabs between the cells.
func tabbed(cells []any) []any {
	line := make([]string, len(cells))
	for i, c := range cells {
		line[i] = fmt.Sprint(c)
	}
	return []any{strings.Join(line, "\t")}
}

func (a *app) showJSON(v any) error {
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *app) printVersion() error {
	a.printf(a.out, "windscalectl %s\n", version.String())
	return nil
}

// fault is a settings.Fault in JSON.
type fault struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Kind    string `json:"kind"`
	Detail  string `json:"detail"`
}

func faultsOf(all []settings.Fault) []fault {
	out := []fault{}
	for _, f := range all {
		out = append(out, fault{f.Section, f.Key, string(f.Kind), f.Detail})
	}
	return out
}

// change is a settings.Change in JSON.
type change struct {
	Kind    string `json:"kind"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

func changesOf(all []settings.Change) []change {
	out := []change{}
	for _, c := range all {
		out = append(out, change{string(c.Kind), c.Section, c.Key, c.Old, c.New})
	}
	return out
}

// conflict is a settingsstore.ConflictError in JSON.
type conflict struct {
	Base    uint64               `json:"base"`
	Won     settingsstore.Record `json:"won"`
	Theirs  []change             `json:"theirs"`
	Against []change             `json:"against"`
}

// report explains a failure: on the notes for people, and as JSON besides
// where the output is JSON and there is more to say than a line.
func (a *app) report(err error) {
	var invalid *settingsstore.InvalidError
	var conflicted *settingsstore.ConflictError
	var unsettled *settingsstore.UnsettledError
	a.printf(a.note, "windscalectl: %v\n", err)
	switch {
	case errors.As(err, &invalid):
		a.reportFaults(invalid.Faults)
	case errors.As(err, &conflicted):
		a.reportConflict(conflicted)
	case errors.As(err, &unsettled):
		a.printf(a.note, "Give the same command again with --edit-id %s to settle it.\n", unsettled.EditID)
	}
}

func (a *app) reportFaults(faults []settings.Fault) {
	if a.json() {
		_ = a.showJSON(map[string][]fault{"faults": faultsOf(faults)})
		return
	}
	for _, f := range faults {
		a.printf(a.note, "%s\n", f.Error())
	}
}

func (a *app) reportConflict(c *settingsstore.ConflictError) {
	if a.json() {
		_ = a.showJSON(conflict{c.Base, c.Won, changesOf(c.Theirs), changesOf(c.Against)})
		return
	}
	if c.DiffErr != nil {
		a.printf(a.note, "The changes can't be shown: %v\n", c.DiffErr)
	}
	a.printf(a.note, "What was accepted since version %d:\n", c.Base)
	a.printChanges(a.note, c.Theirs)
	a.printf(a.note, "What yours would change in version %d:\n", c.Won.Version)
	a.printChanges(a.note, c.Against)
}

func (a *app) printChanges(w io.Writer, changes []settings.Change) {
	if len(changes) == 0 {
		a.printf(w, "  nothing\n")
	}
	for _, c := range changes {
		a.printf(w, "  %s\n", c)
	}
}
