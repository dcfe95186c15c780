package burn

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "samples.cbor", encoder.Marshal, decoder.Unmarshal, burn.HistoryState{
		Last: map[msg.RouterID]*burn.LastSeen{"s3": &burn.LastSeen{Sample: burn.Sample{
			Router:      "s7",
			Incarnation: 8,
			Uptime:      9 * time.Millisecond,
			Customers:   map[msg.CustomerID]burn.Totals{"s11": burn.Totals{burn.Counts{Total: 14, Bad: 15}, burn.Counts{Total: 17, Bad: 18}, burn.Counts{Total: 20, Bad: 21}, burn.Counts{Total: 23, Bad: 24}}},
		}, At: time.Unix(1700000025, 0).UTC(), Gone: true}},
		Totals: map[msg.CustomerID]burn.Totals{"s28": burn.Totals{burn.Counts{Total: 31, Bad: 32}, burn.Counts{Total: 34, Bad: 35}, burn.Counts{Total: 37, Bad: 38}, burn.Counts{Total: 40, Bad: 41}}},
		Routers: map[msg.RouterID]burn.RouterCoverage{"s43": burn.RouterCoverage{
			Seen:     45,
			Missed:   46,
			Restarts: 47,
			Lost:     48 * time.Millisecond,
			Read:     49 * time.Millisecond,
			Latest:   time.Unix(1700000050, 0).UTC(),
		}},
		Checkpoints: []burn.Checkpoint{burn.Checkpoint{
			At:     time.Unix(1700000053, 0).UTC(),
			Totals: map[msg.CustomerID]burn.Totals{"s55": burn.Totals{burn.Counts{Total: 58, Bad: 59}, burn.Counts{Total: 61, Bad: 62}, burn.Counts{Total: 64, Bad: 65}, burn.Counts{Total: 67, Bad: 68}}},
			Routers: map[msg.RouterID]burn.RouterCoverage{"s70": burn.RouterCoverage{
				Seen:     72,
				Missed:   73,
				Restarts: 74,
				Lost:     75 * time.Millisecond,
				Read:     76 * time.Millisecond,
				Latest:   time.Unix(1700000077, 0).UTC(),
			}},
			Missing: []msg.RouterID{"s79"},
		}},
		Start: time.Unix(1700000080, 0).UTC(),
	})
	golden.Check(t, "report.json", json.Marshal, nil, burn.Report{
		At:    time.Unix(1700000082, 0).UTC(),
		Since: time.Unix(1700000083, 0).UTC(),
		Windows: []burn.WindowCoverage{burn.WindowCoverage{
			Length:  86 * time.Millisecond,
			From:    time.Unix(1700000087, 0).UTC(),
			Span:    88 * time.Millisecond,
			Partial: true,
			Short:   true,
			Seen:    91,
			Read:    92.5,
			Routers: []burn.RouterGaps{burn.RouterGaps{
				Router:     "s95",
				Missed:     96,
				Restarts:   97,
				Lost:       98 * time.Millisecond,
				MissingNow: true,
			}},
		}},
		Rows: []burn.Row{burn.Row{
			ID:        "s102",
			Group:     true,
			Objective: 1,
			Burns:     []burn.Burn{burn.Burn{State: "s107", Rate: 108.5, Counts: burn.Counts{Total: 110, Bad: 111}}},
			Alarms:    []bool{true},
		}},
	})
}
