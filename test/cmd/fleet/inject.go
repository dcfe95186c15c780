package main

import (
	"context"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/standin/platform"
	"github.com/windscale/windscale/test/fleet"
)

// act provokes or heals a failure.
type act = func(context.Context, *trial) error

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
)

const (
	floodRate   = "open 1500"
	slowTable   = 200 * time.Millisecond // longer than the routers hold a claim back
	betweenLost = 100 * time.Millisecond
)

func allFaults() []fault {
	stores := []string{platform.Table, platform.Objects, platform.Hosts}
	return []fault{
		{name: "router killed", inject: killRouter, heal: restartRouter},
		{name: "router paused", inject: pauseRouter, heal: signalRouter(syscall.SIGCONT)},
		{name: "link cut", inject: setLinks(true), heal: setLinks(false)},
		{name: "table down", inject: platformMode(platform.Down, platform.Table), heal: platformMode(platform.OK, platform.Table)},
		{name: "replies lost", inject: loseReplies, heal: platformMode(platform.OK, stores...)},
		{name: "server dying", inject: serverMode(dyingServer, "die"), heal: serverMode(dyingServer, "ok")},
		{name: "server leaving", inject: leave(true), heal: leave(false)},
		{name: "flood", inject: flood, heal: nothing},
		{name: "answers cut", inject: serverMode(faultyServer, "close-without-done"), heal: serverMode(faultyServer, "ok"), alone: true},
		{name: "answers crossed", inject: serverMode(faultyServer, "echo-wrong-id"), heal: serverMode(faultyServer, "ok"), alone: true},
		{name: "bookings cut", inject: serverMode(cutService, "cut-before"), heal: serverMode(cutService, "ok"), alone: true},
		{name: "stores down", inject: platformMode(platform.Down, stores...), heal: platformMode(platform.OK, stores...), alone: true},
	}
}

func nothing(context.Context, *trial) error { return nil }

func killRouter(_ context.Context, t *trial) error {
	t.Routers[killedRouter].Kill()
	return nil
}

func restartRouter(_ context.Context, t *trial) error {
	return t.StartRouter(t.Routers[killedRouter])
}

// pauseRouter stops the router while its writes to the table are under way, so
// that it wakes with claims whose lease has lapsed.
func pauseRouter(ctx context.Context, t *trial) error {
	order := platform.Fault{Service: platform.Table, Mode: platform.Slow, DelayMs: int(slowTable.Milliseconds())}
	if err := t.PlatformFault(ctx, order); err != nil {
		return err
	}
	sleep(ctx, slowTable)
	t.Routers[pausedRouter].Signal(syscall.SIGSTOP)
	return platformMode(platform.OK, platform.Table)(ctx, t)
}

func signalRouter(sig syscall.Signal) act {
	return func(_ context.Context, t *trial) error {
		t.Routers[pausedRouter].Signal(sig)
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
	return func(ctx context.Context, t *trial) error {
		r := t.Routers[cutRouter]
		for _, peer := range t.Routers {
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

func platformMode(mode platform.Mode, services ...string) act {
	return func(ctx context.Context, t *trial) error {
		for _, s := range services {
			if err := t.PlatformFault(ctx, platform.Fault{Service: s, Mode: mode}); err != nil {
				return err
			}
		}
		return nil
	}
}

// loseReplies loses the reply of one call of the table and of the object store
// after another, with others between them that arrive.
func loseReplies(ctx context.Context, t *trial) error {
	go func() {
		for range faultHold / betweenLost {
			for _, s := range []string{platform.Table, platform.Objects} {
				_ = t.PlatformFault(ctx, platform.Fault{Service: s, Mode: platform.LostReply, Count: 1})
			}
			sleep(ctx, betweenLost)
		}
	}()
	return nil
}

// serverOrder is the body of a stand-in server's POST /_fault.
type serverOrder struct {
	Mode  string `json:"mode"`
	After int    `json:"after"` // tokens of an answer before it is cut
}

func serverMode(server int, mode string) act {
	return func(ctx context.Context, t *trial) error {
		return t.Backends[server].Fault(ctx, serverOrder{Mode: mode, After: 5})
	}
}

func leave(leaving bool) act {
	return func(ctx context.Context, t *trial) error {
		return t.SetLeaving(ctx, t.Backends[leavingServer].ID, leaving)
	}
}

func flood(_ context.Context, t *trial) error {
	return t.call("flood", []fleet.Stream{
		{Customer: flooder, Kind: plans, Mode: floodRate, Values: "prompt = 100\ntokens = 20\ntimeout = 3s"},
	}, faultHold)
}
