package main

import (
	"time"

	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/metrics"
)

// measureReports measures the metrics page and the burn computation.
func measureReports() ([]Slope, error) {
	customers := []int{100, 300, 1000}
	size := measureAt(Slope{Key: "page-bytes", What: "a router's metrics page, every customer with requests", Unit: "bytes", Per: "customers"},
		customers, func(n int) float64 { return float64(len(registry(n).Var().String())) })
	scrape := measureAt(Slope{Key: "page-ns", What: "writing the page", Unit: "ns", Per: "customers"},
		customers, func(n int) float64 {
			r := registry(n)
			return bestOf(5, 1, func() { _ = r.Var().String() })
		})
	state := measureAt(Slope{Key: "metrics-bytes", What: "state of a router's metrics", Unit: "bytes", Per: "customers"},
		customers, func(n int) float64 { return heapOf(func() any { return registry(n) }) })
	routers := []int{8, 32, 128}
	add := measureAt(Slope{Key: "round-ns", What: "adding one round of windscale-burn, 100 customers a router", Unit: "ns", Per: "routers"},
		routers, func(n int) float64 {
			h, at := burn.New(), time.Unix(0, 0)
			return bestOf(5, 1, func() {
				at = at.Add(time.Second)
				if err := h.Add(round(n, 100, at)); err != nil {
					panic(err) // the rounds are in order
				}
			})
		})
	report := measureAt(Slope{Key: "report-ns", What: "computing the burn report", Unit: "ns", Per: "customers"},
		customers, func(n int) float64 {
			h := burn.New()
			for i := range 3 {
				if err := h.Add(round(1, n, time.Unix(int64(i), 0))); err != nil {
					panic(err)
				}
			}
			promises := map[msg.CustomerID]burn.Promise{}
			for i := range n {
				promises[customerID(i)] = burn.Promise{FirstToken: true, BetweenTokens: true, Fraction: 0.95}
			}
			return bestOf(5, 1, func() { h.Report(promises) })
		})
	return []Slope{size, scrape, state, add, report}, nil
}

// registry returns metrics in which n customers have had requests.
func registry(n int) *metrics.Registry {
	r := metrics.New()
	ids := make([]msg.CustomerID, n)
	for i := range ids {
		ids[i] = customerID(i)
	}
	r.Entry.SetCustomers(ids)
	for _, id := range ids {
		c := r.Entry.Customer(id)
		for range 20 {
			c.Request()
			c.FirstToken(700*time.Millisecond, time.Second)
			c.BetweenTokens(50*time.Millisecond, 52*time.Millisecond)
			c.Answered(23 * time.Second)
		}
		c.Refused("queue-full")
	}
	return r
}

// round is one reading of a fleet.
func round(routers, customers int, at time.Time) burn.Round {
	r := burn.Round{At: at}
	for i := range routers {
		s := burn.Sample{Router: memberID(i), Incarnation: 1, Uptime: time.Hour, Customers: map[msg.CustomerID]burn.Totals{}}
		for c := range customers {
			s.Customers[customerID(c)] = burn.Totals{
				burn.Refused: {Total: uint64(at.Unix()), Bad: uint64(at.Unix() / 10)},
			}
		}
		r.Samples = append(r.Samples, s)
	}
	return r
}
