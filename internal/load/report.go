package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency sums up a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"meanMs"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// SectionReport is what became of one section's requests. Answered counts
// whole right answers in time; latencies and cost are those of answered
// requests, from when the request was due. Rates count what callers received
// while requests were sent, also of answers that ended later.
type SectionReport struct {
	Name             string         `json:"name"`
	Customer         string         `json:"customer"`
	Kind             string         `json:"kind"`
	Sent             int            `json:"sent"`
	Answered         int            `json:"answered"`
	Late             int            `json:"late"`
	Refused          int            `json:"refused"`
	RefusedByType    map[string]int `json:"refusedByType"`
	RefusedByRun     map[string]int `json:"refusedByRun"` // by Windscale-Run
	Unknown          int            `json:"unknown"`      // broken: whether it ran is not known
	Wrong            int            `json:"wrong"`
	NotSent          int            `json:"notSent"`    // no connection was to be had
	Moved            int            `json:"moved"`      // sent on to another target, which the first did not accept
	Skipped          int            `json:"skipped"`    // not sent: too many were in progress
	Unfinished       int            `json:"unfinished"` // still in progress when the run was over
	Reasons          map[string]int `json:"reasons"`    // of what was late, broken, wrong or not sent
	PromptTokens     int64          `json:"promptTokens"`
	CompletionTokens int64          `json:"completionTokens"`
	Cost             int64          `json:"cost"`          // models: prompt tokens + 4 × completion tokens; services: requests
	CostPerSecond    float64        `json:"costPerSecond"` // while the section sent
	Weight           float64        `json:"weight"`
	FirstToken       Latency        `json:"firstToken"`
	BetweenTokens    Latency        `json:"betweenTokens"`
	Total            Latency        `json:"total"`
	Refusals         Latency        `json:"refusals"` // from when the request was due to the refusal
	Series           []Second       `json:"series"`
}

// Report is what became of a run.
type Report struct {
	Seed              uint64          `json:"seed"`
	Seconds           float64         `json:"seconds"` // that requests were sent
	RequestsPerSecond float64         `json:"requestsPerSecond"`
	TokensPerSecond   float64         `json:"tokensPerSecond"` // completion tokens
	Wrong             int             `json:"wrong"`           // wrong answers and broken promises
	Sections          []SectionReport `json:"sections"`
	Records           *Records        `json:"records,omitempty"`
}

// TotalWrong counts the wrong answers and the promises that the servers'
// records show as broken.
func (r *Report) TotalWrong() int {
	n := r.Records.wrong()
	for _, s := range r.Sections {
		n += s.Wrong
	}
	return n
}

const microPerMilli = 1000

// newReport sums up a run whose requests were sent for the time given.
func newReport(players []*player, seed uint64, sent time.Duration) *Report {
	seconds := sent.Seconds()
	out := &Report{Seed: seed, Seconds: seconds}
	for _, p := range players {
		s, timely := p.tally.report(p.section, seconds)
		out.Sections = append(out.Sections, s)
		out.RequestsPerSecond += float64(timely.answered) / seconds
		out.TokensPerSecond += float64(timely.tokens) / seconds
	}
	return out
}

func (t *tally) report(s *Section, seconds float64) (SectionReport, rates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := seconds
	if s.Stop > 0 {
		end = min(end, s.Stop.Seconds())
	}
	out := SectionReport{
		Name: s.Name, Customer: s.Customer, Kind: string(s.Kind) + ":" + s.Subject,
		Sent: t.sent, Answered: t.classes[Whole], Late: t.classes[Late], Refused: t.classes[Refused],
		RefusedByType: t.refused, RefusedByRun: t.ran, Unknown: t.classes[Broken], Wrong: t.classes[Wrong],
		NotSent: t.classes[NotSent], Moved: t.moved, Skipped: t.skipped, Unfinished: t.unfinished, Reasons: t.reasons,
		PromptTokens: t.prompts, CompletionTokens: t.tokens, Cost: t.cost, Weight: s.Weight,
		FirstToken: latency(t.first), BetweenTokens: latency(t.between), Total: latency(t.total),
		Refusals: latency(t.refusals), Series: t.series,
	}
	if active := end - s.Start.Seconds(); active > 0 {
		out.CostPerSecond = float64(t.timely.cost) / active
	}
	return out, t.timely
}

func latency(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microPerMilli }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / microPerMilli,
		P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / microPerMilli,
	}
}

// WriteTable prints the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "section\tsent\tanswered\tlate\trefused\tunknown\twrong\tnot sent\tunfinished\tfirst p50\tp99 ms\tgap p50\tp99 ms\ttotal p50\tp99 ms\tcost/s\tper weight\t")
	for _, s := range r.Sections {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			s.Name, s.Sent, s.Answered, s.Late, s.Refused, s.Unknown, s.Wrong, s.NotSent+s.Skipped, s.Unfinished,
			s.FirstToken.P50, s.FirstToken.P99, s.BetweenTokens.P50, s.BetweenTokens.P99,
			s.Total.P50, s.Total.P99, s.CostPerSecond, s.CostPerSecond/s.Weight)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range r.Sections {
		writeReasons(w, s)
	}
	fmt.Fprintf(w, "in all: %.1f requests/s answered, %.1f tokens/s, %d wrong\n", r.RequestsPerSecond, r.TokensPerSecond, r.Wrong)
	if c := r.Records; c != nil {
		fmt.Fprintf(w, "records of %d servers: %d refusals said not run, %d of them ran; %d bookings' keys, %d ran twice, %d answered without running\n",
			c.Servers, c.NotRunChecked, len(c.FalseNotRun), c.KeysChecked, len(c.RunTwice), len(c.AnsweredNotRun))
		for _, server := range c.Unreadable {
			fmt.Fprintf(w, "record not readable: %s\n", server)
		}
	}
	return nil
}

func writeReasons(w io.Writer, s SectionReport) {
	if len(s.RefusedByType) > 0 {
		fmt.Fprintf(w, "%s refused: %s (ran: %s)\n", s.Name, counts(s.RefusedByType), counts(s.RefusedByRun))
	}
	if len(s.Reasons) > 0 {
		fmt.Fprintf(w, "%s failed: %s\n", s.Name, counts(s.Reasons))
	}
}

func counts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}
