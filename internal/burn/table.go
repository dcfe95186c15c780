package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/windscale/windscale/internal/core/burn"
)

// JSON writes the report as one JSON object.
func JSON(w io.Writer, r burn.Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// Table writes the report as text for a terminal.
func Table(w io.Writer, r burn.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "burn at %s, readings since %s\n", r.At.Format(time.RFC3339), r.Since.Format(time.RFC3339))
	fmt.Fprint(t, "CUSTOMER\tOBJECTIVE")
	for _, s := range r.Windows {
		fmt.Fprintf(t, "\t%s", heading(s))
	}
	fmt.Fprint(t, "\tALARM\n")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s", rowName(row), row.Objective)
		for _, b := range row.Burns {
			fmt.Fprintf(t, "\t%s", cell(b))
		}
		fmt.Fprintf(t, "\t%s\n", alarm(row))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return gaps(w, r)
}

// gaps lists what the readings do not cover.
func gaps(w io.Writer, r burn.Report) error {
	for i, s := range r.Windows {
		if s.Partial {
			fmt.Fprintf(w, "%s is partial: %s\n", length(s.Length), coverage(s))
		}
		if i > 0 && s.From.Equal(r.Windows[i-1].From) {
			continue // the same readings, so the same gaps
		}
		for _, g := range s.Routers {
			fmt.Fprintf(w, "  %s\n", gap(g))
		}
	}
	return nil
}

func heading(s burn.WindowCoverage) string {
	if s.Partial {
		return length(s.Length) + "*"
	}
	return length(s.Length)
}

func coverage(s burn.WindowCoverage) string {
	text := fmt.Sprintf("%.1f%% of the routers' time was read", 100*s.Read)
	if s.Short {
		text = fmt.Sprintf("readings reach back %s only; ", s.Span.Round(time.Second)) + text
	}
	return text
}

func gap(g burn.RouterGaps) string {
	text := fmt.Sprintf("router %s: %d readings failed, %d restarts, %s never read",
		g.Router, g.Missed, g.Restarts, g.Lost.Round(time.Second))
	if g.MissingNow {
		text += ", MISSING NOW"
	}
	return text
}

func rowName(r burn.Row) string {
	switch {
	case r.Group && r.ID == burn.FleetGroup:
		return "(all customers)"
	case r.Group:
		return string(r.ID) + "/ (group)"
	default:
		return string(r.ID)
	}
}

func cell(b burn.Burn) string {
	if b.State != burn.Measured {
		return string(b.State)
	}
	return fmt.Sprintf("%.2f (%d/%d)", b.Rate, b.Counts.Bad, b.Counts.Total)
}

// alarm names the pairs of windows that raise an alarm.
func alarm(r burn.Row) string {
	text := ""
	for i, p := range burn.WindowPairs() {
		if !r.Alarms[i] {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += length(p.Short) + "/" + length(p.Long)
	}
	return text
}

// length writes a window's length without needless zeros.
func length(d time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case d >= day:
		return fmt.Sprintf("%dd", d/day)
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}
