package load

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/standin/backend"
)

// Records is the comparison of what callers were told with what the backend
// servers' records say.
type Records struct {
	Servers        int      `json:"servers"`        // records read
	Unreadable     []string `json:"unreadable"`     // servers whose record could not be read
	Dropped        int      `json:"dropped"`        // runs the records no longer hold
	Unkept         int      `json:"unkept"`         // ids and keys that were too many to compare
	NotRunChecked  int      `json:"notRunChecked"`  // refusals that said "not run"
	FalseNotRun    []string `json:"falseNotRun"`    // of these, the ids that did begin to run
	KeysChecked    int      `json:"keysChecked"`    // idempotency keys of bookings
	RunTwice       []string `json:"runTwice"`       // of these, the keys that ran more than once
	AnsweredNotRun []string `json:"answeredNotRun"` // keys with a complete response that never ran
}

// wrong counts the broken promises.
func (r *Records) wrong() int {
	if r == nil {
		return 0
	}
	return len(r.FalseNotRun) + len(r.RunTwice) + len(r.AnsweredNotRun)
}

const recordTimeout = 20 * time.Second

// runs counts executions by request id and by idempotency key.
type runs struct {
	byID  map[string]int
	byKey map[string]int
}

// compareRecords reads every server's record and compares it with what all
// players were told.
func compareRecords(ctx context.Context, players []*player, servers []string) *Records {
	out := &Records{Unreadable: []string{}, FalseNotRun: []string{}, RunTwice: []string{}, AnsweredNotRun: []string{}}
	seen := runs{byID: map[string]int{}, byKey: map[string]int{}}
	for _, server := range servers {
		log, ok := readRecord(ctx, server)
		if !ok {
			out.Unreadable = append(out.Unreadable, server)
			continue
		}
		out.Servers++
		out.Dropped += log.Dropped
		seen.add(log)
	}
	for _, p := range players {
		p.tally.compare(out, seen, p.section.Kind)
	}
	slices.Sort(out.RunTwice)
	slices.Sort(out.AnsweredNotRun)
	return out
}

func (s runs) add(log backend.Log) {
	for _, run := range log.Runs {
		s.byID[run.ID]++
		if run.Key != "" {
			s.byKey[run.Key]++
		}
	}
}

// compare adds one section's comparison. Only bookings may not run twice; a
// booking that was answered must have run if every record was read.
func (t *tally) compare(out *Records, seen runs, kind Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.Unkept += t.unkept
	for _, id := range t.notRun {
		out.NotRunChecked++
		if seen.byID[id] > 0 {
			out.FalseNotRun = append(out.FalseNotRun, id)
		}
	}
	if kind != Booking {
		return
	}
	complete := len(out.Unreadable) == 0 && out.Dropped == 0
	for key, answered := range t.keys {
		out.KeysChecked++
		if seen.byKey[key] > 1 {
			out.RunTwice = append(out.RunTwice, key)
		}
		if complete && answered > 0 && seen.byKey[key] == 0 {
			out.AnsweredNotRun = append(out.AnsweredNotRun, key)
		}
	}
}

// readRecord says false if the record could not be read whole.
func readRecord(ctx context.Context, server string) (backend.Log, bool) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var log backend.Log
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server+"/_record", nil)
	if err != nil {
		return log, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return log, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return log, false
	}
	return log, json.NewDecoder(resp.Body).Decode(&log) == nil
}
