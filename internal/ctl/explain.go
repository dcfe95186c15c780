package ctl

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// explainCommand shows what each router says of a customer's waiting
// requests.
type explainCommand struct {
	deferred
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER" description:"such as trasladar/claims-desk"`
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
