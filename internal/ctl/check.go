package ctl

import "context"

// checkCommand reports every fault of a file. It needs no platform.
type checkCommand struct {
	deferred
	Args fileArg `positional-args:"yes" required:"yes"`
}

// checked is the output in JSON.
type checked struct {
	Customers int     `json:"customers"`
	Services  int     `json:"services"`
	Faults    []fault `json:"faults"`
}

func (c *checkCommand) run(_ context.Context, a *app) error {
	snap, err := c.Args.build(1)
	if err != nil {
		return err
	}
	if a.json() {
		return a.showJSON(checked{len(snap.Customers), len(snap.Services), []fault{}})
	}
	a.printf(a.out, "%s: no faults, %d customers, %d services\n", c.Args.File, len(snap.Customers), len(snap.Services))
	return nil
}
