package burn

import (
	"bytes"
	"cmp"
	_ "embed" // the page's template
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
)

//go:embed report.html
var pageText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"name":     rowName,
	"cell":     cell,
	"alarm":    alarm,
	"heading":  heading,
	"coverage": coverage,
	"length":   length,
	"gap":      gap,
	"hot":      func(b burn.Burn) bool { return b.State == burn.Measured && b.Rate >= 1 },
}).Parse(pageText))

const (
	plotRows   = 6 // customers drawn for each objective
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	plotWindow = 5 * time.Minute
)

// htmlPage is what the template shows.
type htmlPage struct {
	Report burn.Report
	Plots  []htmlPlot
}

type htmlPlot struct {
	Objective burn.Objective
	SVG       template.HTML
}

// HTML writes the report as one self-contained page: no script, no style and
// no picture from elsewhere.
func HTML(w io.Writer, h *burn.History, promises map[msg.CustomerID]burn.SLO) error {
	p := htmlPage{Report: h.Report(promises)}
	for _, o := range burn.Objectives() {
		svg, err := picture(h, o, worst(p.Report, o), promises)
		if err != nil {
			return errors.Annotatef(err, "drawing %s", o)
		}
		if svg != "" {
			p.Plots = append(p.Plots, htmlPlot{Objective: o, SVG: svg})
		}
	}
	return errors.Trace(pageTemplate.Execute(w, p))
}

// worst returns the customers that burn fastest, over the shortest window.
func worst(r burn.Report, o burn.Objective) []msg.CustomerID {
	var rows []burn.Row
	for _, row := range r.Rows {
		if row.Objective == o && !row.Group {
			rows = append(rows, row)
		}
	}
	slices.SortStableFunc(rows, func(a, b burn.Row) int {
		return cmp.Compare(b.Burns[0].Rate, a.Burns[0].Rate)
	})
	var out []msg.CustomerID
	for _, row := range rows[:min(plotRows, len(rows))] {
		out = append(out, row.ID)
	}
	return out
}

// picture plots the customers' burn over time, "" if there is nothing to plot.
func picture(h *burn.History, o burn.Objective, ids []msg.CustomerID, promises map[msg.CustomerID]burn.SLO) (template.HTML, error) {
	var lines []any
	for _, id := range ids {
		points := xys(h.Series(id, o, promises[id], plotWindow))
		if len(points) > 1 {
			lines = append(lines, string(id), points)
		}
	}
	if len(lines) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "burn rate: " + o.String()
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05", Time: plot.UTCUnixTime}
	p.Y.Label.Text = "burn rate over 5 minutes"
	p.Y.Min = 0
	p.Legend.Top = true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return "", errors.Trace(err)
	}
	return svg(p)
}

func xys(values []burn.RatePoint) plotter.XYs {
	out := make(plotter.XYs, 0, len(values))
	for _, v := range values {
		out = append(out, plotter.XY{X: float64(v.At.UnixMilli()) / 1000, Y: v.Rate})
	}
	return out
}

// svg renders p without the XML header, which has no place within a page.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Trace(err)
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil // of the plot library, which escapes names
}
