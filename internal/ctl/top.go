package ctl

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/pause"
)

// topCommand shows per customer what all routers did within a while.
type topCommand struct {
	deferred
	For time.Duration `long:"for" default:"2s" description:"how long to watch"`
}

// vars is what top reads of a router's /debug/vars.
type vars struct {
	Windscale struct {
		Process struct {
			Incarnation uint64 `json:"incarnation"`
		} `json:"process"`
		Entry struct {
			Customers map[string]entryCounts `json:"customers"`
		} `json:"entry"`
		Sharing struct {
			Pools map[string]map[string]poolShare `json:"pools"`
		} `json:"sharing"`
	} `json:"windscale"`
}

type entryCounts struct {
	Requests uint64            `json:"requests_total"`
	Answered uint64            `json:"answered_total"`
	Refused  map[string]uint64 `json:"refused_total"`
	Unknown  uint64            `json:"unknown_total"`
	Failed   uint64            `json:"failed_total"`
	Running  int64             `json:"running_requests"`
	Waiting  int64             `json:"waiting_requests"`
}

type poolShare struct {
	Wait     float64 `json:"longest_wait_seconds"`
	WaitsFor string  `json:"waits_for"`
}

// customerLoad is one customer's line, in all routers together.
type customerLoad struct {
	Customer string  `json:"customer"`
	Requests float64 `json:"requestsPerSecond"`
	Answered float64 `json:"answeredPerSecond"`
	Refused  float64 `json:"refusedPerSecond"`
	Lost     float64 `json:"unknownOrFailedPerSecond"`
	Running  int64   `json:"running"`
	Waiting  int64   `json:"waiting"`
	Longest  float64 `json:"longestWaitSeconds"`
	WaitsFor string  `json:"waitsFor,omitempty"` // of the longest wait
}

func (c *topCommand) run(ctx context.Context, a *app) error {
	if c.For <= 0 {
		return &cli.UsageError{What: "--for must be above 0s"}
	}
	before, err := each[vars](ctx, a, "/debug/vars")
	if err != nil {
		return err
	}
	start := time.Now()
	pause.For(ctx, c.For)
	after, err := each[vars](ctx, a, "/debug/vars")
	if err != nil {
		return err
	}
	all := sum(before, after, time.Since(start).Seconds())
	return a.show(all, "CUSTOMER REQ/S ANSWERED/S REFUSED/S LOST/S RUNNING WAITING LONGEST WAITS-FOR", func(add func(...any)) {
		for _, l := range all {
			add(l.Customer, oneDigit(l.Requests), oneDigit(l.Answered), oneDigit(l.Refused), oneDigit(l.Lost),
				l.Running, l.Waiting, oneDigit(l.Longest)+"s", l.WaitsFor)
		}
	})
}

// sum adds the routers up, the customer with most waiting first. Counters of
// a router that started in between count from 0.
func sum(before, after map[string]vars, seconds float64) []customerLoad {
	loads := map[string]*customerLoad{}
	for router, now := range after {
		old := before[router]
		if old.Windscale.Process.Incarnation != now.Windscale.Process.Incarnation {
			old = vars{}
		}
		for name, n := range now.Windscale.Entry.Customers {
			of(loads, name).addCounts(old.Windscale.Entry.Customers[name], n, seconds)
		}
		for _, pool := range now.Windscale.Sharing.Pools {
			for name, s := range pool {
				of(loads, name).addWait(s)
			}
		}
	}
	var out []customerLoad
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		out = append(out, *loads[name])
	}
	slices.SortStableFunc(out, func(x, y customerLoad) int { return cmp.Compare(y.Waiting, x.Waiting) })
	return out
}

func of(loads map[string]*customerLoad, name string) *customerLoad {
	if loads[name] == nil {
		loads[name] = &customerLoad{Customer: name}
	}
	return loads[name]
}

func (l *customerLoad) addCounts(old, now entryCounts, seconds float64) {
	rate := func(old, now uint64) float64 { return float64(now-old) / seconds }
	l.Requests += rate(old.Requests, now.Requests)
	l.Answered += rate(old.Answered, now.Answered)
	l.Lost += rate(old.Unknown+old.Failed, now.Unknown+now.Failed)
	for reason, n := range now.Refused {
		l.Refused += rate(old.Refused[reason], n)
	}
	l.Running += now.Running
	l.Waiting += now.Waiting
}

func (l *customerLoad) addWait(s poolShare) {
	if s.Wait > l.Longest {
		l.Longest, l.WaitsFor = s.Wait, s.WaitsFor
	}
}

func oneDigit(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }
