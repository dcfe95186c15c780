package main

import (
	"context"
	"time"

	"github.com/windscale/windscale/test/fleet"
)

// samples are what the processes themselves say over the window.
type samples struct {
	engines, services use
	sent              counters
	routers           int
	took              time.Duration
}

// use adds up the slots of a kind of server while work waited.
type use struct{ running, slots int }

func (u use) fraction() float64 {
	if u.slots == 0 {
		return 0
	}
	return float64(u.running) / float64(u.slots)
}

// counters are the routers' totals.
type counters struct {
	cpu             time.Duration
	bytes, messages float64 // sent between routers
	sharingBytes    float64 // of these, by the sharing
}

// sample watches the fleet until the end of the window.
func sample(ctx context.Context, f *fleet.Fleet) (*samples, error) {
	s := &samples{routers: len(f.Routers)}
	began := time.Now()
	first, err := count(ctx, f)
	if err != nil {
		return nil, err
	}
	for time.Since(began) < measureTo-measureFrom && ctx.Err() == nil {
		if err := s.add(ctx, f); err != nil {
			return nil, err
		}
		sleep(ctx, sampleEvery)
	}
	last, err := count(ctx, f)
	s.took = time.Since(began)
	s.sent = counters{
		cpu:          last.cpu - first.cpu,
		bytes:        last.bytes - first.bytes,
		messages:     last.messages - first.messages,
		sharingBytes: last.sharingBytes - first.sharingBytes,
	}
	return s, err
}

// add takes one sample of the slots in use, if any work waits.
func (s *samples) add(ctx context.Context, f *fleet.Fleet) error {
	waiting := 0
	for _, r := range f.Routers {
		status, err := r.Status(ctx)
		if err != nil {
			return err
		}
		waiting += status.Waiting
	}
	if waiting == 0 {
		return nil
	}
	for _, b := range f.Backends {
		load, err := b.Load(ctx)
		if err != nil {
			return err
		}
		u := &s.engines
		if b.Kind == "service" {
			u = &s.services
		}
		u.running += min(load.Running, load.Slots)
		u.slots += load.Slots
	}
	return nil
}

// count reads the routers' totals.
func count(ctx context.Context, f *fleet.Fleet) (c counters, err error) {
	for _, r := range f.Routers {
		vars, err := r.Vars(ctx)
		if err != nil {
			return c, err
		}
		c.cpu += r.CPU()
		c.bytes += vars["link.sent_bytes_total"]
		c.messages += vars["link.sent_total"]
		c.sharingBytes += vars["sharing.counters_sent_bytes_total"]
	}
	return c, nil
}

func (s *samples) fill(g *figures) {
	g.EngineUse = s.engines.fraction()
	g.ServiceUse = s.services.fraction()
	perRouterSecond := float64(s.routers) * s.took.Seconds()
	g.ControlBytes = s.sent.bytes / perRouterSecond
	g.SharingBytes = s.sent.sharingBytes / perRouterSecond
	g.ControlMessages = s.sent.messages / perRouterSecond
	g.RouterCPUMicros = float64(s.sent.cpu.Microseconds()) / float64(g.Requests)
}
