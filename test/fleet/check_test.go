package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A record in order, and the requests that go with it.
func sound() ([]Request, []Execution) {
	requests := []Request{
		{ID: "a", Kind: "model:plan-7b", Outcome: Whole},
		{ID: "b", Kind: "booking:dispatch", Key: "k1", Outcome: Whole},
		{ID: "c", Kind: "booking:dispatch", Outcome: Whole},
		{ID: "d", Kind: "status:dispatch", Outcome: Refused, Run: "no"},
		{ID: "e", Kind: "booking:dispatch", Key: "k2", Outcome: Unknown},
	}
	ran := []Execution{
		{ID: "a", Attempt: "1", Ended: false},
		{ID: "a", Attempt: "2", Ended: true},
		{ID: "b", Attempt: "1", Key: "k1", Ended: true},
		{ID: "c", Attempt: "1", Ended: true},
		{ID: "e", Attempt: "1", Key: "k2", Ended: true},
	}
	return requests, ran
}

func TestCheckPassesASoundRecord(t *testing.T) {
	v := Check(sound())
	assert.DeepEqual(t, v, Verdict{Requests: 5, Whole: 3, Refused: 1, Unknown: 1})
}

func TestCheckFailsOnADoctoredRecord(t *testing.T) {
	tests := []struct {
		name   string
		doctor func([]Request, []Execution) ([]Request, []Execution)
		want   func(Verdict) int
	}{
		{"a key executed twice", func(r []Request, e []Execution) ([]Request, []Execution) {
			return r, append(e, Execution{ID: "other", Key: "k1"})
		}, func(v Verdict) int { return v.Doubled }},
		{"a booking without a key executed twice", func(r []Request, e []Execution) ([]Request, []Execution) {
			return r, append(e, Execution{ID: "c", Attempt: "2"})
		}, func(v Verdict) int { return v.Doubled }},
		{"a request said not to have run in the record", func(r []Request, e []Execution) ([]Request, []Execution) {
			return r, append(e, Execution{ID: "d", Attempt: "1"})
		}, func(v Verdict) int { return v.FalseNotRun }},
		{"a wrong answer", func(r []Request, e []Execution) ([]Request, []Execution) {
			r[0].Outcome = Wrong
			return r, e
		}, func(v Verdict) int { return v.Wrong }},
		{"an answer that no server gave", func(r []Request, e []Execution) ([]Request, []Execution) {
			return r, e[2:]
		}, func(v Verdict) int { return v.NoRecord }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			v := Check(tc.doctor(sound()))
			assert.Equal(t, tc.want(v), 1)
			assert.Equal(t, v.Breaches(), 1)
			assert.Equal(t, len(v.Examples), 1)
		})
	}
}
