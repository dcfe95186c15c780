package main

import (
	"context"
	"fmt"

	"github.com/windscale/windscale/test/fleet"
)

// The models and the service of the demonstration and of the faults.
const (
	planModel   = "plan-7b"
	claimsModel = "claims-13b"
	plans       = "model:" + planModel
	claims      = "model:" + claimsModel
	status      = "status:dispatch"
	bookings    = "booking:dispatch"
)

// The two users' customers, and one that only probes.
var (
	desks     = fleet.Customer{Path: "trasladar/franchise-desks", Values: "weight = 2"}
	staff     = fleet.Customer{Path: "trasladar/claims-staff", Values: "queue_len = 4"}
	drivers   = fleet.Customer{Path: "trasladar/drivers"}
	warehouse = fleet.Customer{Path: "quetzal/warehouse"}
	pantries  = fleet.Customer{Path: "quetzal/pantries"}
	partners  = fleet.Customer{Path: "quetzal/partners"}
	prober    = fleet.Customer{Path: "operations/prober"}
	flooder   = fleet.Customer{Path: "operations/flooder", Values: "queue_len = 20"}
)

var customers = []fleet.Customer{desks, staff, drivers, warehouse, pantries, partners}

// common are the settings besides the groups' and the customers' own.
const common = `[fleet]
drain_limit = 30s
claim_lease = 1s
claim_keep = 10m

[service dispatch]
once = POST /bookings
checks_fence = true

[tree]
weight = 1
queue_len = 100
queue_time = 5s
request_time = 15s
models = *
services = *
retry_percent = 10
first_token = 500ms
between_tokens = 50ms
objective_fraction = 0.95

[tree/trasladar]
weight = 1
`

// settings returns the sections besides the customers' own; quetzal's weight
// is what the trials change.
func settings(quetzalWeight float64) string {
	return common + fmt.Sprintf("\n[tree/operations]\nweight = 1\n\n[tree/quetzal]\nweight = %g\n", quetzalWeight)
}

// small starts the fleet of the demonstration and of the faults: 3 routers in 3
// data centres, 4 engines with 2 models, 2 servers of one service.
func small(ctx context.Context, o options, name string) (*fleet.Fleet, error) {
	c, err := o.Config(name)
	if err != nil {
		return nil, err
	}
	c.Routers = 3
	c.DataCentres = 3
	c.Settings = settings(1)
	c.Customers = append([]fleet.Customer{prober, flooder}, customers...)
	c.Servers = []fleet.Server{
		engine("e1", "dc1", planModel, "4"),
		engine("e2", "dc2", planModel+","+claimsModel, "4"),
		engine("e3", "dc3", claimsModel, "4"),
		engine("e4", "dc1", planModel, "4"),
		service("d1", "dc1", "dispatch", "--checks-fence"),
		service("d2", "dc2", "dispatch", "--checks-fence"),
	}
	return fleet.Up(ctx, c)
}

func engine(id, dc, models, slots string) fleet.Server {
	return fleet.Server{ID: id, DataCentre: dc, Kind: "engine", Args: []string{
		"--models", models, "--slots", slots, "--rate", "200", "--prefill", "5ms", "--report-lag", "500ms",
	}}
}

func service(id, dc, name string, args ...string) fleet.Server {
	args = append([]string{"--name", name, "--slots", "4", "--delay", "5ms"}, args...)
	return fleet.Server{ID: id, DataCentre: dc, Kind: "service", Args: args}
}

var keyedBookings = fleet.Stream{
	Name: "keyed", Customer: desks, Kind: bookings, Mode: "open 15",
	Values: "idempotency = true\nretries = 1\ntimeout = 3s",
}

// mix is the standard mix: plans, claims, status reads, bookings with and
// without a key.
func mix() []fleet.Stream {
	const tokens = "prompt = 200\ntokens = 20-80\ntimeout = 3s"
	const plain = "idempotency = false\ntimeout = 3s"
	return []fleet.Stream{
		{Customer: desks, Kind: plans, Mode: "open 10", Values: tokens},
		keyedBookings,
		{Customer: staff, Kind: claims, Mode: "closed 6", Values: tokens},
		{Customer: drivers, Kind: status, Mode: "open 40", Values: plain},
		{Customer: warehouse, Kind: bookings, Mode: "open 10", Values: plain},
		{Customer: pantries, Kind: plans, Mode: "closed 4", Values: tokens},
		{Customer: partners, Kind: status, Mode: "open 20", Values: plain},
	}
}
