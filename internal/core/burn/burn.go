// Package burn computes multi-window burn rates of service-level objectives from
// cumulative counters that are scraped periodically from every router. The
// package performs no I/O and does not read the clock.
//
// A burn rate is the fraction of bad outcomes divided by the fraction that the
// objective allows. At a rate of 1, the error budget is used up exactly at the end
// of the objective's period. A router that could not be scraped, or that
// restarted, is reported as such and never counted as zero.
package burn

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Objective is a service-level objective of the customers.
type Objective int

// The objectives.
const (
	FirstToken Objective = iota
	BetweenTokens
	Refused
	Failed
	objectiveCount // number of objectives
)

var objectiveNames = [objectiveCount]string{"first-token", "between-tokens", "refused", "failed"}

// String returns the objective's name.
func (o Objective) String() string { return objectiveNames[o] }

// MarshalText returns the objective's name.
func (o Objective) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Objectives returns all objectives in order.
func Objectives() []Objective {
	return []Objective{FirstToken, BetweenTokens, Refused, Failed}
}

// Counts holds the outcomes that count toward an objective.
type Counts struct {
	Total uint64 `cbor:"1,keyasint" json:"total"`
	Bad   uint64 `cbor:"2,keyasint" json:"bad"`
}

func (c Counts) plus(d Counts) Counts {
	return Counts{Total: c.Total + d.Total, Bad: c.Bad + d.Bad}
}

func (c Counts) minus(d Counts) Counts {
	return Counts{Total: c.Total - d.Total, Bad: c.Bad - d.Bad}
}

// decreasedFrom reports whether a counter in c is lower than in d.
func (c Counts) decreasedFrom(d Counts) bool { return c.Total < d.Total || c.Bad < d.Bad }

// Totals holds the counts of one customer by objective.
type Totals [objectiveCount]Counts

// Sample holds the counters of one router at the time of a scrape.
type Sample struct {
	Router      msg.RouterID              `cbor:"1,keyasint"`
	Incarnation uint64                    `cbor:"2,keyasint"`
	Uptime      time.Duration             `cbor:"3,keyasint"` // since the process started
	Customers   map[msg.CustomerID]Totals `cbor:"4,keyasint"` // cumulative
}

// Scrape is the result of one scrape of the whole fleet.
type Scrape struct {
	At      time.Time
	Samples []Sample
	Missing []msg.RouterID // known routers that could not be scraped
}

// SLO holds the service-level objectives that the settings define for a customer.
type SLO struct {
	FirstToken    bool
	BetweenTokens bool
	Fraction      float64 // fraction of outcomes that must be good; outside (0, 1): no objective
}

func (p SLO) covers(o Objective) bool {
	switch o {
	case FirstToken:
		return p.FirstToken
	case BetweenTokens:
		return p.BetweenTokens
	default:
		return true
	}
}

// allowedBad returns how many of total outcomes may be bad, or 0 if there is no
// objective.
func (p SLO) allowedBad(o Objective, total uint64) float64 {
	if !p.covers(o) || p.Fraction <= 0 || p.Fraction >= 1 {
		return 0
	}
	return (1 - p.Fraction) * float64(total)
}

// WindowPair is a pair of windows that raises an alarm only if both exceed the
// threshold: the long one shows that the burn is significant, the short one that
// it is still going on.
type WindowPair struct {
	Short, Long time.Duration
	Threshold   float64 // minimum burn rate in both windows
}

// WindowPairs returns the window pairs of every report, with the commonly used
// thresholds.
func WindowPairs() []WindowPair {
	return []WindowPair{
		{Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
		{Short: 6 * time.Hour, Long: 3 * 24 * time.Hour, Threshold: 1},
	}
}

// Windows returns the distinct window lengths of WindowPairs, shortest first.
func Windows() []time.Duration {
	return []time.Duration{
		5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, longestWindow,
	}
}

const longestWindow = 3 * 24 * time.Hour

// FleetGroup is the group that contains all customers.
const FleetGroup msg.CustomerID = ""

// Groups returns the groups that contain the customer id: FleetGroup and all
// parents.
func Groups(id msg.CustomerID) []msg.CustomerID {
	out := []msg.CustomerID{FleetGroup}
	for i, r := range id {
		if r == '/' {
			out = append(out, id[:i])
		}
	}
	return out
}
