package lab

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gopkg.in/ini.v1"

	"github.com/windscale/windscale/internal/emulator/controlplane"
)

// The sections of a file for the control plane, beside that of the fleet.
const (
	sectionChange = "change "
	sectionFault  = "fault "
)

// faultKinds are the kinds of faults by their names in files.
var faultKinds = map[string]controlplane.FaultKind{"kill": controlplane.Kill, "cut-store": controlplane.CutStore}

// LoadControlPlane reads and checks a scenario of the control plane. Its error is *Error with every
// fault.
func LoadControlPlane(path string) (controlplane.Scenario, error) {
	f, err := ini.Load(path)
	if err != nil {
		return controlplane.Scenario{}, &Error{File: path, Faults: []Fault{{Detail: err.Error()}}}
	}
	r := &reader{}
	var s controlplane.Scenario
	for _, section := range f.Sections() {
		r.begin(section)
		switch name := section.Name(); {
		case name == ini.DefaultSection:
		case name == sectionFleet:
			r.controlPlane(&s)
		case strings.HasPrefix(name, sectionChange):
			s.Changes = append(s.Changes, controlplane.Change{At: r.span("at"), Servers: r.count("servers", 1)})
		case strings.HasPrefix(name, sectionFault):
			s.Faults = append(s.Faults, r.controlFault())
		default:
			r.fault("", "no such section")
		}
		r.unknown()
	}
	if s.Length < 2*time.Second {
		r.faults = append(r.faults, Fault{sectionFleet, "length", "under two seconds"})
	}
	if len(r.faults) > 0 {
		return controlplane.Scenario{}, &Error{File: path, Faults: r.faults}
	}
	return s, nil
}

func (r *reader) controlPlane(s *controlplane.Scenario) {
	s.Length = r.span("length")
	s.Routers = r.count("routers", 1)
	s.Servers = r.count("servers", 1)
	s.DataCentres = r.count("data_centres", 1)
	s.Customers = r.count("customers", 1)
	s.Large = r.count("large_hosts", 0)
	s.LargeCores = r.number("large_cores", 0)
	s.SmallCores = r.number("small_cores", 0)
	s.Requests = r.number("requests_per_second", 0)
	s.Loss = r.number("datagrams_lost", 0)
}

func (r *reader) controlFault() controlplane.Fault {
	f := controlplane.Fault{At: r.span("at"), Until: r.span("until"), Routers: r.count("routers", 0)}
	name := r.text("kind")
	kind, known := faultKinds[name]
	if !known {
		r.fault("kind", "neither kill nor cut-store: "+name)
	}
	if f.Until <= f.At {
		r.fault("until", "not after at")
	}
	f.Kind = kind
	return f
}

// ControlPlay is a play of the control plane at one size, a line of JSON.
type ControlPlay struct {
	Routers, Servers    int
	ReadyMs, KnownMs    int64
	StartMessages       int64
	StartMB, StartFarMB float64 // all, and between data centres
	StartProcessorS     float64
	StartCalls          int64
	StartStoreMB        float64
	ViewKB              float64
	FarKBPerSecond      float64
	BusiestToMiddle     float64
	ChangeMs            []int64
	HeardMs, BackMs     []int64
	Roles               map[string]controlplane.Load
	LeftOut             map[string]int64
}

// RunControlPlane plays a scenario at each number of routers, with as many servers for each as the
// scenario has.
func RunControlPlane(s controlplane.Scenario, routers []int, played func(ControlPlay) error) ([]ControlPlay, error) {
	if len(routers) == 0 {
		routers = []int{s.Routers}
	}
	var plays []ControlPlay
	for _, n := range routers {
		at := s
		at.Requests = s.Requests * float64(n) / float64(s.Routers)
		at.Servers = max(1, s.Servers*n/s.Routers)
		at.Customers = max(1, s.Customers*n/s.Routers)
		at.Routers = n
		p := playOf(at, controlplane.Run(at))
		plays = append(plays, p)
		if err := played(p); err != nil {
			return plays, err
		}
	}
	return plays, nil
}

const (
	kilo = 1024.0
	mega = kilo * kilo
)

func playOf(s controlplane.Scenario, r *controlplane.Result) ControlPlay {
	p := ControlPlay{
		Routers: s.Routers, Servers: s.Servers,
		ReadyMs: r.Ready.Milliseconds(), KnownMs: r.Known.Milliseconds(),
		StartMessages: r.Start.Messages, StartMB: float64(r.Start.Bytes) / mega, StartFarMB: float64(r.Start.Between) / mega,
		StartProcessorS: r.Start.Processor.Seconds(), StartCalls: r.Start.StoreCalls, StartStoreMB: float64(r.Start.StoreBytes) / mega,
		ViewKB: float64(r.View) / kilo, FarKBPerSecond: r.Between / kilo, BusiestToMiddle: r.BusiestTo,
		Roles: r.Steady, LeftOut: r.Left,
	}
	for _, c := range r.Changes {
		p.ChangeMs = append(p.ChangeMs, c.Last.Milliseconds())
	}
	for _, d := range r.Heard {
		p.HeardMs = append(p.HeardMs, d.Milliseconds())
	}
	for _, d := range r.Back {
		p.BackMs = append(p.BackMs, d.Milliseconds())
	}
	return p
}

// WriteTable writes plays as a table, a column for each size.
func WriteTable(out io.Writer, plays []ControlPlay) error {
	rows := []struct {
		name string
		of   func(ControlPlay) string
	}{
		{"servers", func(p ControlPlay) string { return fmt.Sprint(p.Servers) }},
		{"start: all have their views, ms", func(p ControlPlay) string { return fmt.Sprint(p.ReadyMs) }},
		{"all know all routers, ms", func(p ControlPlay) string { return fmt.Sprint(p.KnownMs) }},
		{"processor, s", func(p ControlPlay) string { return fmt.Sprintf("%.1f", p.StartProcessorS) }},
		{"MB, of these between data centres", func(p ControlPlay) string { return fmt.Sprintf("%.0f, %.1f", p.StartMB, p.StartFarMB) }},
		{"calls to the store, MB", func(p ControlPlay) string { return fmt.Sprintf("%d, %.1f", p.StartCalls, p.StartStoreMB) }},
		{"a first view, KB", func(p ControlPlay) string { return fmt.Sprintf("%.0f", p.ViewKB) }},
		{"then: KB/s between data centres", func(p ControlPlay) string { return fmt.Sprintf("%.0f", p.FarKBPerSecond) }},
		{"a change at the last router, ms", func(p ControlPlay) string { return joined(p.ChangeMs) }},
		{"reports again after both reporters ended, ms", func(p ControlPlay) string { return joined(p.HeardMs) }},
		{"views again after the start of those that were killed, ms", func(p ControlPlay) string { return joined(p.BackMs) }},
		{"busiest host to the middle one, processor", func(p ControlPlay) string { return fmt.Sprintf("%.1f", p.BusiestToMiddle) }},
	}
	for _, role := range []string{"router", "reporter", "reader"} {
		rows = append(rows, struct {
			name string
			of   func(ControlPlay) string
		}{role + ": messages/s in, out; KB/s in, out; % of a core", func(p ControlPlay) string {
			l := p.Roles[role]
			return fmt.Sprintf("%.0f, %.0f; %.1f, %.1f; %.2f", l.In, l.Out, l.InB/kilo, l.OutB/kilo, 100*l.Processor)
		}})
	}
	line := func(first string, of func(ControlPlay) string) error {
		cells := []string{first}
		for _, p := range plays {
			cells = append(cells, of(p))
		}
		_, err := fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | "))
		return err
	}
	if err := line("routers", func(p ControlPlay) string { return fmt.Sprint(p.Routers) }); err != nil {
		return err
	}
	if err := line("---", func(ControlPlay) string { return "---" }); err != nil {
		return err
	}
	for _, r := range rows {
		if err := line(r.name, r.of); err != nil {
			return err
		}
	}
	return nil
}

func joined(ms []int64) string {
	var texts []string
	for _, n := range ms {
		texts = append(texts, fmt.Sprint(n))
	}
	return strings.Join(texts, ", ")
}

// PlotControlPlane draws how processor time and bytes grow with the number of routers, by role.
func PlotControlPlane(plays []ControlPlay, file string) error {
	p := plot.New()
	p.X.Label.Text = "routers"
	p.Y.Label.Text = "% of a core; KB/s"
	p.Title.Text = "Control, a router of each role"
	var lines []any
	for _, role := range []string{"router", "reporter", "reader"} {
		var processor, bytes plotter.XYs
		for _, play := range slices.SortedFunc(slices.Values(plays), func(a, b ControlPlay) int { return a.Routers - b.Routers }) {
			l, known := play.Roles[role]
			if !known {
				continue
			}
			processor = append(processor, plotter.XY{X: float64(play.Routers), Y: 100 * l.Processor})
			bytes = append(bytes, plotter.XY{X: float64(play.Routers), Y: (l.InB + l.OutB) / kilo})
		}
		lines = append(lines, role+", % of a core", processor, role+", KB/s", bytes)
	}
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, file)
}
