package main

import (
	"context"
	"syscall"

	"github.com/windscale/windscale/test/fleet"
)

// act provokes or heals a failure; scenario names files.
type act = func(ctx context.Context, f *fleet.Fleet, scenario string) error

// fault is one failure that can be provoked and healed.
type fault struct {
	name   string
	inject act
	heal   act
	alone  bool // not in pairs
}

// The parts of the fleet that the faults strike. They differ, so that pairs
// strike two places.
const (
	killedRouter = 0
	pausedRouter = 1
	cutRouter    = 2

	dyingServer   = 0
	leavingServer = 1
	faultyServer  = 2
	cutService    = 4

	floodRate = "open 1500"
)

func allFaults() []fault {
	return []fault{
		{name: "router killed", inject: killRouter, heal: restartRouter},
		{name: "router paused", inject: signalRouter(syscall.SIGSTOP), heal: signalRouter(syscall.SIGCONT)},
		{name: "link cut", inject: setLinks(true), heal: setLinks(false)},
		{name: "table down", inject: platformMode("down", "table"), heal: platformMode("ok", "table")},
		{name: "replies lost", inject: platformMode("lost-reply", "table"), heal: platformMode("ok", "table")},
		{name: "server dying", inject: serverMode(dyingServer, "die"), heal: serverMode(dyingServer, "ok")},
		{name: "server leaving", inject: leave(true), heal: leave(false)},
		{name: "flood", inject: flood, heal: nothing},
		{name: "answers cut", inject: serverMode(faultyServer, "close-without-done"), heal: serverMode(faultyServer, "ok"), alone: true},
		{name: "answers crossed", inject: serverMode(faultyServer, "echo-wrong-id"), heal: serverMode(faultyServer, "ok"), alone: true},
		{name: "bookings cut", inject: serverMode(cutService, "cut-before"), heal: serverMode(cutService, "ok"), alone: true},
		{name: "stores down", inject: platformMode("down", "table", "objects", "hosts"), heal: platformMode("ok", "table", "objects", "hosts"), alone: true},
	}
}

func nothing(context.Context, *fleet.Fleet, string) error { return nil }

func killRouter(_ context.Context, f *fleet.Fleet, _ string) error {
	f.Routers[killedRouter].Kill()
	return nil
}

func restartRouter(_ context.Context, f *fleet.Fleet, _ string) error {
	return f.StartRouter(f.Routers[killedRouter])
}

func signalRouter(sig syscall.Signal) act {
	return func(_ context.Context, f *fleet.Fleet, _ string) error {
		f.Routers[pausedRouter].Signal(sig)
		return nil
	}
}

// linkOrder is the body of a router's POST /v1/link.
type linkOrder struct {
	Peer string `json:"peer"`
	Cut  bool   `json:"cut"`
}

// setLinks orders one router to cut or mend its links to all others.
func setLinks(cut bool) act {
	return func(ctx context.Context, f *fleet.Fleet, _ string) error {
		r := f.Routers[cutRouter]
		for _, peer := range f.Routers {
			if peer == r {
				continue
			}
			if err := r.Post(ctx, "/v1/link", linkOrder{peer.ID, cut}); err != nil {
				return err
			}
		}
		return nil
	}
}

func platformMode(mode string, services ...string) act {
	return func(ctx context.Context, f *fleet.Fleet, _ string) error {
		for _, s := range services {
			if err := f.PlatformFault(ctx, s, mode); err != nil {
				return err
			}
		}
		return nil
	}
}

// serverOrder is the body of a stand-in server's POST /_fault.
type serverOrder struct {
	Mode  string `json:"mode"`
	After int    `json:"after"` // tokens of an answer before it is cut
}

func serverMode(server int, mode string) act {
	return func(ctx context.Context, f *fleet.Fleet, _ string) error {
		return f.Backends[server].Fault(ctx, serverOrder{Mode: mode, After: 5})
	}
}

func leave(leaving bool) act {
	return func(ctx context.Context, f *fleet.Fleet, _ string) error {
		return f.SetLeaving(ctx, f.Backends[leavingServer].ID, leaving)
	}
}

func flood(_ context.Context, f *fleet.Fleet, scenario string) error {
	_, err := f.Call(scenario+"-flood", []fleet.Stream{
		{Customer: flooder, Kind: plans, Mode: floodRate, Values: "prompt = 100\ntokens = 20\ntimeout = 4s"},
	}, faultHold, 1)
	return err
}
