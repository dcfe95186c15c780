package lab

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/windscale/windscale/internal/emulator"
)

// Policies are the policies by the names under which they are asked for.
var Policies = map[string]emulator.Policy{
	"product":       emulator.Product,
	"scheduled":     emulator.Scheduled,
	"random":        emulator.Random,
	"least-loaded":  emulator.LeastLoaded,
	"two-at-random": emulator.TwoAtRandom,
	"homes-only":    emulator.HomesOnly,
	"all-knowing":   emulator.AllKnowing,
}

// Play is what one policy served of what was asked, with one seed.
type Play struct {
	Policy  string  `json:"policy"`
	Seed    uint64  `json:"seed"`
	InTime  float64 `json:"inTime"` // parts of the tokens asked
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Worst is the customer of which the least part was served in time.
	Worst       string  `json:"worst"`
	WorstInTime float64 `json:"worstInTime"`
}

// Difference is what a policy serves in time more than another, over the same seeds.
type Difference struct {
	Policy  string `json:"policy"`
	Against string `json:"against"`
	Seeds   int    `json:"seeds"`
	// Mean is in parts of what is asked; Low and High bound it with 95% confidence
	// (Student's t over the seeds' differences).
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

const (
	// warmPart is the part of a run in which caches fill; it is not counted.
	warmPart = 0.25
	// openEnd is the last part of a run, in which requests are still on their way.
	openEnd = time.Second
	// confidence is that of a difference's bounds.
	confidence = 0.95
)

// Run plays the scenario under a policy.
func Run(s emulator.Scenario, policy string, seed uint64) Play {
	s.Policy = Policies[policy]
	s.Seed = seed
	r := emulator.Run(s)
	from := (time.Duration(float64(s.Length) * warmPart)).Truncate(time.Second)
	play := Play{Policy: policy, Seed: seed, WorstInTime: math.Inf(1)}
	var all emulator.Second
	for _, c := range s.Customers {
		sum := r.Total(c.Name, from, s.Length-openEnd)
		all.Add(sum)
		if part := sum.InTime / sum.Asked; sum.Asked > 0 && part < play.WorstInTime {
			play.Worst, play.WorstInTime = c.Name, part
		}
	}
	if all.Asked == 0 {
		play.WorstInTime = 0
		return play // nobody asked for anything
	}
	play.InTime = all.InTime / all.Asked
	play.Late = all.Late / all.Asked
	play.Refused = all.Refused / all.Asked
	play.Failed = all.Failed / all.Asked
	return play
}

// Compare returns the difference of two policies' plays, of the same seeds in the same
// order, two at least.
func Compare(plays, against []Play) Difference {
	diffs := make([]float64, len(plays))
	for i := range plays {
		diffs[i] = plays[i].InTime - against[i].InTime
	}
	mean, dev := stat.MeanStdDev(diffs, nil)
	n := float64(len(diffs))
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
	half := t * dev / math.Sqrt(n)
	return Difference{
		Policy: plays[0].Policy, Against: against[0].Policy, Seeds: len(diffs),
		Mean: mean, Low: mean - half, High: mean + half,
	}
}
