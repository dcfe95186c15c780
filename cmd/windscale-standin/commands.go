package main

import (
	"context"
	"time"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/standin/engine"
	"github.com/windscale/windscale/internal/standin/platform"
	"github.com/windscale/windscale/internal/standin/service"
)

// common are the options that every stand-in has.
type common struct {
	Listen     string        `long:"listen" required:"true" description:"IP:port to serve at"`
	DrainLimit time.Duration `long:"drain-limit" default:"10m" description:"longest wait for requests in progress at the end"`
}

type platformCommand struct {
	common
	ListLag time.Duration `long:"list-lag" default:"1s" description:"how late the host list shows a change"`
}

// Execute implements flags.Commander.
func (p *platformCommand) Execute([]string) error {
	return serve(program{common: p.common, handler: platform.New(p.ListLag)})
}

type engineCommand struct {
	common
	ID           string        `long:"id" required:"true" description:"host ID"`
	Models       string        `long:"models" required:"true" description:"models held, separated by commas"`
	Slots        int           `long:"slots" default:"8" description:"requests that run together"`
	Rate         float64       `long:"rate" default:"200" description:"tokens per second of each stream"`
	Knee         int           `long:"knee" default:"0" description:"streams that run at the whole rate; with more all get slower; 0: all do"`
	Prefill      time.Duration `long:"prefill" default:"5ms" description:"time for each 100 prompt tokens that are not cached"`
	CacheBlocks  int           `long:"cache-blocks" default:"512" description:"prefix cache, in blocks of 16 tokens"`
	ReportLag    time.Duration `long:"report-lag" default:"500ms" description:"age of the load report"`
	ResumeWindow time.Duration `long:"resume-window" default:"2s" description:"how long a stream whose connection broke goes on"`
}

// Execute implements flags.Commander.
func (e *engineCommand) Execute([]string) error {
	if e.Slots < 1 || e.Rate <= 0 || e.Knee < 0 {
		return &cli.UsageError{What: "--slots and --rate must be above 0, --knee not below"}
	}
	eng := engine.New(engine.Options{
		ID: e.ID, Models: splitList(e.Models), Slots: e.Slots, Rate: e.Rate, Knee: e.Knee, Prefill: e.Prefill,
		CacheBlocks: e.CacheBlocks, ReportLag: e.ReportLag, ResumeWindow: e.ResumeWindow,
	})
	run := func(ctx context.Context) { eng.Run(ctx) }
	return serve(program{common: e.common, id: e.ID, handler: eng, run: run, drainer: eng})
}

type serviceCommand struct {
	common
	ID          string        `long:"id" required:"true" description:"host ID"`
	Name        string        `long:"name" required:"true" description:"the service's name"`
	Slots       int           `long:"slots" default:"4" description:"requests that run together"`
	Delay       time.Duration `long:"delay" default:"5ms" description:"how long each request runs"`
	ReportLag   time.Duration `long:"report-lag" default:"500ms" description:"age of the load report"`
	ChecksFence bool          `long:"checks-fence" description:"refuse a fencing number older than one seen for the same key"`
}

// Execute implements flags.Commander.
func (s *serviceCommand) Execute([]string) error {
	if s.Slots < 1 {
		return &cli.UsageError{What: "--slots must be above 0"}
	}
	svc := service.New(service.Options{
		ID: s.ID, Name: s.Name, Slots: s.Slots, Delay: s.Delay, ReportLag: s.ReportLag, ChecksFence: s.ChecksFence,
	})
	return serve(program{common: s.common, id: s.ID, handler: svc, drainer: svc})
}
