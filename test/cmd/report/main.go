// Command report runs a fleet on loopback for a short time, with one customer
// pushed past its objective, and writes the burn report. It is test
// scaffolding. It exits with 0 if the report shows that customer's burn and no
// other's, 1 if not, 2 on wrong usage.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/test/fleet"
)

const (
	limit    = 100 * time.Second // of the whole command
	loadTime = 24 * time.Second
	interval = 2 * time.Second
	readings = 11
	restart  = 8 * time.Second // then one router is killed and started again
)

// settings promise everyone a first token within 400 ms.
const settings = `[service dispatch]
[tree]
queue_len = 20
queue_time = 3s
models = *
services = *
first_token = 400ms
between_tokens = 50ms
objective_fraction = 0.95
[tree/desks]
[tree/claims]
`

var (
	pushed = fleet.Customer{Path: "claims/staff"}
	calm   = fleet.Customer{Path: "desks/planners"}
	reader = fleet.Customer{Path: "desks/drivers"}
)

func main() {
	var folders fleet.Folders
	fleet.Main("report", &folders, limit, func(ctx context.Context) error { return run(ctx, folders) })
}

func run(ctx context.Context, folders fleet.Folders) error {
	c, err := config(folders)
	if err != nil {
		return err
	}
	f, err := fleet.Up(ctx, c)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := takeReadings(ctx, f); err != nil {
		return err
	}
	html, data := filepath.Join(folders.Out, "burn.html"), filepath.Join(folders.Out, "burn.json")
	if err := report(ctx, f, "html", html); err != nil {
		return err
	}
	if err := report(ctx, f, "json", data); err != nil {
		return err
	}
	fmt.Println("written:", html, data)
	return check(data)
}

// takeReadings reads the routers under load, while one of them restarts, and
// shows the report as a table.
func takeReadings(ctx context.Context, f *fleet.Fleet) error {
	fmt.Printf("%d routers are up; %s sends far more than its one engine serves, for %s\n", len(f.Routers), pushed.Path, loadTime)
	caller, err := f.Call("load", streams(), loadTime, 1)
	if err != nil {
		return err
	}
	restarted := make(chan error, 1)
	go func() { restarted <- restartRouter(f) }()
	if err := errors.Join(report(ctx, f, "table", ""), <-restarted); err != nil {
		return err
	}
	_, err = caller.Report(ctx)
	return err
}

func config(folders fleet.Folders) (fleet.Config, error) {
	c, err := folders.Config("report")
	c.Routers, c.DataCentres = 3, 3
	c.Settings = settings
	c.Customers = []fleet.Customer{pushed, calm, reader}
	c.Servers = []fleet.Server{
		engine("e1", "dc1", "plan"), engine("e2", "dc2", "plan"), engine("e3", "dc3", "claims"),
		{ID: "d1", DataCentre: "dc1", Kind: "service", Args: []string{"--name", "dispatch", "--slots", "8", "--delay", "5ms"}},
	}
	return c, err
}

func engine(id, dc, model string) fleet.Server {
	return fleet.Server{ID: id, DataCentre: dc, Kind: "engine", Args: []string{"--models", model, "--slots", "4", "--rate", "200", "--prefill", "5ms"}}
}

func streams() []fleet.Stream {
	const tokens = "prompt = 100\ntokens = 40-80\ntimeout = 5s"
	return []fleet.Stream{
		{Customer: pushed, Kind: "model:claims", Mode: "open 40", Values: tokens},
		{Customer: calm, Kind: "model:plan", Mode: "open 5", Values: tokens},
		{Customer: reader, Kind: "status:dispatch", Mode: "open 20", Values: "timeout = 3s"},
	}
}

// restartRouter kills a router in the middle of the readings and starts it
// again.
func restartRouter(f *fleet.Fleet) error {
	time.Sleep(restart)
	r := f.Routers[2]
	r.Kill()
	fmt.Println(r.ID, "was killed, and is started again")
	time.Sleep(interval)
	return f.StartRouter(r)
}

// report runs windscale-burn; the first run takes the readings, the others go
// on from its samples.
func report(ctx context.Context, f *fleet.Fleet, form, out string) error {
	args := append(f.CtlArgs(), "--samples", filepath.Join(f.Dir, "burn.samples"), "--output", form, "--interval", interval.String())
	if out == "" {
		args = append(args, "--readings", strconv.Itoa(readings))
	} else {
		args = append(args, "--out", out)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(f.Bin, "windscale-burn"), args...)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// result is what is read of the JSON report.
type result struct {
	Windows []burn.WindowCoverage `json:"windows"`
	Rows    []struct {
		ID        msg.CustomerID `json:"id"`
		Group     bool           `json:"group"`
		Objective string         `json:"objective"`
		Burns     []burn.Burn    `json:"burns"`
	} `json:"rows"`
}

// WrongReportError says that the report does not show what was done.
type WrongReportError struct{ What string }

// Error implements error.
func (e *WrongReportError) Error() string { return "the report does not show " + e.What }

// check looks for the pushed customer's burn, the calm ones', the restart and
// the marks of windows longer than the readings.
func check(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var r result
	if err := json.Unmarshal(b, &r); err != nil {
		return err
	}
	pushedRate, calmRate := r.rate(pushed.Path), r.rate(calm.Path)
	fmt.Printf("first-token burn: %s %.2f, %s %.2f\n", pushed.Path, pushedRate, calm.Path, calmRate)
	restarts := uint64(0)
	for _, g := range r.Windows[0].Routers {
		restarts += g.Restarts
	}
	switch {
	case pushedRate < 1:
		return &WrongReportError{What: "a burn above 1 of " + pushed.Path}
	case calmRate < 0 || calmRate >= 1:
		return &WrongReportError{What: "a burn below 1 of " + calm.Path}
	case restarts == 0:
		return &WrongReportError{What: "the restart"}
	case !r.Windows[len(r.Windows)-1].Partial:
		return &WrongReportError{What: "that the longest window is partial"}
	}
	return nil
}

// rate is the burn of the customer's first tokens in the shortest window; -1
// if it was not measured.
func (r result) rate(id string) float64 {
	for _, row := range r.Rows {
		if string(row.ID) == id && !row.Group && row.Objective == burn.FirstToken.String() && row.Burns[0].State == burn.Measured {
			return row.Burns[0].Rate
		}
	}
	return -1
}
