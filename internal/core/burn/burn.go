// Package burn computes multi-window burn rates of service-level objectives
// out of cumulative counters that are read from every router from time to
// time. It has no input or output; moments come in as arguments.
//
// A burn rate is the share of bad outcomes over the share that the objective
// allows: at 1 the error budget is used up exactly when the objective's period
// ends. A router that was not read, or that restarted, is reported as such and
// never counted as zero.
package burn

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Objective is what is promised to customers.
type Objective int

// The objectives.
const (
	FirstToken Objective = iota
	BetweenTokens
	Refused
	Failed
	objectives // their number
)

var objectiveNames = [objectives]string{"first-token", "between-tokens", "refused", "failed"}

// String returns the objective's name.
func (o Objective) String() string { return objectiveNames[o] }

// MarshalText writes the objective's name.
func (o Objective) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Objectives lists all of them in order.
func Objectives() []Objective {
	return []Objective{FirstToken, BetweenTokens, Refused, Failed}
}

// Counts are outcomes that an objective judges.
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

// below says that a counter went down from d to c.
func (c Counts) below(d Counts) bool { return c.Total < d.Total || c.Bad < d.Bad }

// Totals are the counts of one customer, by objective.
type Totals [objectives]Counts

// Sample is what one router's counters said when they were read.
type Sample struct {
	Router      msg.RouterID              `cbor:"1,keyasint"`
	Incarnation uint64                    `cbor:"2,keyasint"`
	Uptime      time.Duration             `cbor:"3,keyasint"` // since the process started
	Customers   map[msg.CustomerID]Totals `cbor:"4,keyasint"` // cumulative
}

// Round is one reading of the whole fleet.
type Round struct {
	At      time.Time
	Samples []Sample
	Missing []msg.RouterID // known, and not read
}

// Promise is what the settings promise a customer.
type Promise struct {
	FirstToken    bool
	BetweenTokens bool
	Fraction      float64 // that must be good; outside (0, 1): no objective
}

func (p Promise) covers(o Objective) bool {
	switch o {
	case FirstToken:
		return p.FirstToken
	case BetweenTokens:
		return p.BetweenTokens
	default:
		return true
	}
}

// allowed returns how many of total may be bad.
func (p Promise) allowed(o Objective, total uint64) float64 {
	if !p.covers(o) || p.Fraction <= 0 || p.Fraction >= 1 {
		return 0
	}
	return (1 - p.Fraction) * float64(total)
}

// Pair is two windows that raise an alarm only together: the long one shows
// that the burn matters, the short one that it still goes on.
type Pair struct {
	Short, Long time.Duration
	Threshold   float64 // burn rate at which both must be
}

// Pairs lists the windows of every report, in the customary thresholds.
func Pairs() []Pair {
	return []Pair{
		{Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
		{Short: 6 * time.Hour, Long: 3 * 24 * time.Hour, Threshold: 1},
	}
}

// Windows lists the lengths in Pairs, each once, the shortest first.
func Windows() []time.Duration {
	return []time.Duration{
		5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, longest,
	}
}

const longest = 3 * 24 * time.Hour

// Fleet is the group that holds every customer.
const Fleet msg.CustomerID = ""

// Groups lists the groups that id is in: every parent and Fleet.
func Groups(id msg.CustomerID) []msg.CustomerID {
	out := []msg.CustomerID{Fleet}
	for i, r := range id {
		if r == '/' {
			out = append(out, id[:i])
		}
	}
	return out
}
