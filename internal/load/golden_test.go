package load

import (
	"encoding/json"
	"testing"

	"github.com/windscale/windscale/internal/golden"
	"github.com/windscale/windscale/internal/standin/answer"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "report.json", json.Marshal, json.Unmarshal, Report{
		Seed:              2,
		Seconds:           3.5,
		RequestsPerSecond: 4.5,
		TokensPerSecond:   5.5,
		Wrong:             6,
		Sections: []SectionReport{SectionReport{
			Name:             "s9",
			Customer:         "s10",
			Kind:             "s11",
			Sent:             12,
			Answered:         13,
			Late:             14,
			Refused:          15,
			RefusedByType:    map[string]int{"s17": 18},
			RefusedByRun:     map[string]int{"s20": 21},
			Unknown:          22,
			Wrong:            23,
			NotSent:          24,
			Moved:            25,
			Skipped:          26,
			Unfinished:       27,
			Reasons:          map[string]int{"s29": 30},
			PromptTokens:     31,
			CompletionTokens: 32,
			Cost:             33,
			CostPerSecond:    34.5,
			Weight:           35.5,
			FirstToken: Latency{
				Count: 37,
				Mean:  38.5,
				P50:   39.5,
				P90:   40.5,
				P99:   41.5,
				Max:   42.5,
			},
			BetweenTokens: Latency{
				Count: 44,
				Mean:  45.5,
				P50:   46.5,
				P90:   47.5,
				P99:   48.5,
				Max:   49.5,
			},
			Total: Latency{
				Count: 51,
				Mean:  52.5,
				P50:   53.5,
				P90:   54.5,
				P99:   55.5,
				Max:   56.5,
			},
			Refusals: Latency{
				Count: 58,
				Mean:  59.5,
				P50:   60.5,
				P90:   61.5,
				P99:   62.5,
				Max:   63.5,
			},
			Series: []Second{Second{
				Second:   66,
				Sent:     67,
				Answered: 68,
				Refused:  69,
				Failed:   70,
				Tokens:   71,
				Cost:     72,
			}},
		}},
		Records: &Records{
			Servers:        75,
			Unreadable:     []string{"s77"},
			Dropped:        78,
			Unkept:         79,
			NotRunChecked:  80,
			FalseNotRun:    []string{"s82"},
			KeysChecked:    83,
			RunTwice:       []string{"s85"},
			AnsweredNotRun: []string{"s87"},
		},
	})
	golden.Check(t, "chat-request.json", json.Marshal, json.Unmarshal, chatRequest{
		Model:     "s89",
		Messages:  []answer.Message{answer.Message{Role: "s92", Content: "s93"}},
		MaxTokens: 94,
		Stream:    true,
	})
	golden.Check(t, "booking-request.json", json.Marshal, json.Unmarshal, bookingRequest{Item: "s97", Count: 98})
}
