package share

import (
	"testing"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record
// with bytes under testdata that an earlier release wrote, and decodes those
// bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "message.cbor", func(v any) ([]byte, error) { m := v.(Message); return Encode(&m) }, func(b []byte, v any) error {
		m, err := Decode(b)
		if err == nil {
			*v.(*Message) = *m
		}
		return err
	}, Message{
		Incarnation:         2,
		Seq:                 3,
		ReceiverIncarnation: 4,
		HighestGrantSeen:    5,
		Registrations: []Registration{Registration{
			QueueID:       8,
			Pool:          "s9",
			Customer:      "s10",
			Weight:        11.5,
			Count:         12,
			AdmitterSlots: 13,
			Avoid:         []msg.ServerID{"s15"},
		}},
		Grants: []Grant{Grant{
			Seq:     18,
			QueueID: 19,
			Server:  "s20",
			Addr:    Addr{22, 2, 3},
		}},
		Releases: []Release{Release{
			Seq:          24,
			Cost:         25,
			Flags:        27,
			FirstTokenMs: 27,
			TotalMs:      28,
		}},
		KeepAlive: &KeepAlive{Seqs: []uint64{32}, Costs: []msg.Cost{34}},
		Demands:   []Demand{Demand{Pool: "s37", Count: 38, ListVersion: 39}},
		Capacities: []Capacity{Capacity{
			Pool:        "s42",
			Slots:       43,
			Idle:        44,
			ListVersion: 45,
		}},
		AdmitterLists: []AdmitterList{AdmitterList{
			Pool:    "s48",
			Version: 49,
			Routers: []msg.RouterID{"s51"},
			Slots:   []int{53},
		}},
		Offers: []Offer{Offer{
			Pool:           "s56",
			Admitter:       "s57",
			Idle:           58,
			NewIncarnation: 59,
		}},
		ServiceReport: &ServiceReport{
			EdgeID:  62,
			Seq:     63,
			BaseSeq: 64,
			Pools: []PoolCounters{PoolCounters{
				Pool:           "s67",
				Floor:          68,
				PackedCounters: []byte{70, 2, 3},
				CounterUnit:    70,
				SlotUnit:       71,
			}},
			KnownTotals: []PoolCounters{PoolCounters{
				Pool:           "s74",
				Floor:          75,
				PackedCounters: []byte{77, 2, 3},
				CounterUnit:    77,
				SlotUnit:       78,
			}},
			SettingsVersion: 79,
		},
		FleetTotals: &FleetTotals{
			EdgeID:      82,
			Seq:         83,
			AckSeq:      84,
			IncludedSeq: 85,
			Pools: []PoolCounters{PoolCounters{
				Pool:           "s88",
				Floor:          89,
				PackedCounters: []byte{91, 2, 3},
				CounterUnit:    91,
				SlotUnit:       92,
			}},
			SettingsVersion: 93,
		},
		UnknownQueues: []uint64{95},
	})
}
