package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxIDs          = 1_000_000 // ids kept for the comparison with the servers' records
)

// Second is what happened within one second of the run.
type Second struct {
	Second   int   `json:"second"`
	Sent     int   `json:"sent"`
	Answered int   `json:"answered"`
	Refused  int   `json:"refused"`
	Failed   int   `json:"failed"` // broken, wrong, late or not sent
	Tokens   int   `json:"tokens"` // completion tokens received
	Cost     int64 `json:"cost"`   // service received, token by token, also of answers that failed later
}

// tally gathers the results of one section. Its methods may be called from
// any goroutine.
type tally struct {
	start time.Time
	end   time.Time // of the time requests are sent; rates count what came before

	mu         sync.Mutex
	sent       int
	classes    map[Class]int
	reasons    map[string]int // of what is broken, wrong or not sent
	refused    map[string]int // by problem type
	ran        map[string]int // refusals by Windscale-Run
	skipped    int            // open loop: too many were in progress
	unfinished int
	moved      int
	tokens     int64
	prompts    int64
	cost       int64
	timely     rates
	series     []Second
	first      *hdrhistogram.Histogram // µs
	between    *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	refusals   *hdrhistogram.Histogram
	notRun     []string       // ids of refusals that said so
	keys       map[string]int // idempotency keys sent, with complete responses had
	unkept     int            // ids or keys beyond maxIDs
}

// rates counts what callers had received when sending ended.
type rates struct {
	answered int
	tokens   int
	cost     int64
}

func newTally(start, end time.Time) *tally {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &tally{
		start: start, end: end, classes: map[Class]int{}, reasons: map[string]int{}, refused: map[string]int{},
		ran: map[string]int{}, keys: map[string]int{},
		first: histogram(), between: histogram(), total: histogram(), refusals: histogram(),
	}
}

// second returns the counts of the second that t is in. The mutex is held.
func (t *tally) second(at time.Time) *Second {
	n := max(int(at.Sub(t.start)/time.Second), 0)
	for len(t.series) <= n {
		t.series = append(t.series, Second{Second: len(t.series)})
	}
	return &t.series[n]
}

// noteSent counts a request that is about to be sent.
func (t *tally) noteSent(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.second(time.Now()).Sent++
	if r.key == "" {
		return
	}
	if _, known := t.keys[r.key]; !known && len(t.keys) >= maxIDs {
		t.unkept++
		return
	}
	t.keys[r.key] += 0
}

// noteProgress counts service as it is received.
func (t *tally) noteProgress(tokens int, cost int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	second := t.second(now)
	second.Tokens += tokens
	second.Cost += cost
	if now.Before(t.end) {
		t.timely.tokens += tokens
		t.timely.cost += cost
	}
}

// noteMoved counts a request that goes on to the next target.
func (t *tally) noteMoved(res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved++
	t.noteNotRun(res)
}

func (t *tally) noteSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

// noteResult counts a result. due is when the request should have been sent.
func (t *tally) noteResult(r *request, due time.Time, res result, stopped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stopped && res.class == Broken {
		t.unfinished++
		return
	}
	t.classes[res.class]++
	second := t.second(res.end)
	switch res.class {
	case Refused:
		second.Refused++
		t.noteRefusal(due, res)
	case Whole:
		second.Answered++
		t.noteAnswer(r, due, res)
	default:
		second.Failed++
		t.reasons[res.reason]++
	}
}

// noteRefusal counts a refusal. The mutex is held.
func (t *tally) noteRefusal(due time.Time, res result) {
	t.refused[res.problem]++
	t.ran[res.ran]++
	record(t.refusals, res.end.Sub(due))
	t.noteNotRun(res)
}

// noteNotRun keeps the ID of a refusal that said not run, to be compared with
// the servers' records. The mutex is held.
func (t *tally) noteNotRun(res result) {
	if res.ran != "no" || res.id == "" {
		return
	}
	if len(t.notRun) >= maxIDs {
		t.unkept++
		return
	}
	t.notRun = append(t.notRun, res.id)
}

// noteAnswer counts a complete response in time. The mutex is held.
func (t *tally) noteAnswer(r *request, due time.Time, res result) {
	t.cost += r.cost()
	if res.end.Before(t.end) {
		t.timely.answered++
	}
	record(t.total, res.end.Sub(due))
	record(t.first, res.first.Sub(due))
	for _, gap := range res.gaps {
		record(t.between, gap)
	}
	if r.want == nil {
		t.tokens += int64(r.completion.Len())
		t.prompts += int64(r.promptTokens)
	}
	if _, kept := t.keys[r.key]; kept {
		t.keys[r.key]++
	}
}

// record counts a duration; what the histogram can't hold counts as its
// greatest value.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), 1), histogramMax)
	_ = h.RecordValue(us) // in range by now
}
