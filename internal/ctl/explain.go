package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/explain"
)

// explainCommand shows what each router says of a customer's waiting
// requests.
type explainCommand struct {
	deferred
	Logs []string `long:"logs" value-name:"FILE" description:"collected logs of windscale-edge: explain a request by them; may be given several times"`
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER|REQUEST-ID" description:"such as trasladar/claims-desk; with --logs the ID of a request"`
	} `positional-args:"yes" required:"yes"`
}

// explanation is what a router answers to /v1/explain.
type explanation struct {
	Customer string       `json:"customer"`
	Pools    []poolReason `json:"pools"`
}

// poolReason is a customer's standing in one pool at one router, as the entry
// (waiting) and as an admitter (registered and what follows it).
type poolReason struct {
	Pool       string        `json:"pool"`
	Waiting    int           `json:"waiting"`
	LongestNs  time.Duration `json:"longestNs"`
	WaitingFor string        `json:"waitingFor,omitempty"`
	PoolSlots  int           `json:"poolSlots"`
	Registered int           `json:"registered"`
	Ahead      int           `json:"ahead"`
	Weight     float64       `json:"weight"`
	Level      float64       `json:"level"`
	Floor      float64       `json:"floor"`
}

func (c *explainCommand) run(ctx context.Context, a *app) error {
	if len(c.Logs) > 0 {
		return c.request(a)
	}
	views, err := each[explanation](ctx, a, "/v1/explain?customer="+url.QueryEscape(c.Args.Customer))
	if err != nil {
		return err
	}
	return a.show(views, "ROUTER POOL WAITING LONGEST WAITS-FOR REGISTERED AHEAD ABOVE-FLOOR WEIGHT", func(add func(...any)) {
		for _, router := range slices.Sorted(maps.Keys(views)) {
			for _, p := range views[router].Pools {
				add(router, p.Pool, p.Waiting, oneDigit(p.LongestNs.Seconds())+"s", p.waitsFor(),
					p.Registered, p.Ahead, oneDigit(p.Level-p.Floor), p.Weight)
			}
		}
	})
}

// request explains one request by collected logs.
func (c *explainCommand) request(a *app) error {
	var logs []io.Reader
	for _, name := range c.Logs {
		f, err := os.Open(name)
		if err != nil {
			return &InputError{Err: err}
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	lines, err := explain.Read(logs...)
	if err != nil {
		return err
	}
	return explain.Explain(lines, c.Args.Customer).Write(a.out)
}

// waitsFor is the reason in a table, with the slots that there are.
func (p poolReason) waitsFor() string {
	switch {
	case p.Waiting == 0:
		return "-"
	case p.PoolSlots == 0:
		return p.WaitingFor
	}
	return fmt.Sprintf("%s (%s in the pool)", p.WaitingFor, strconv.Itoa(p.PoolSlots))
}
