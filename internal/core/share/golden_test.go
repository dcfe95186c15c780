package share

import (
	"testing"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "message.cbor", func(v any) ([]byte, error) { m := v.(Message); return Encode(&m) }, func(b []byte, v any) error {
		m, err := Decode(b)
		if err == nil {
			*v.(*Message) = *m
		}
		return err
	}, Message{
		Incarnation: 2,
		Seq:         3,
		Of:          4,
		Seen:        5,
		Waits: []Wait{Wait{
			Queue:    8,
			Pool:     "s9",
			Customer: "s10",
			Weight:   11.5,
			Count:    12,
			Slots:    13,
			Avoid:    []msg.ServerID{"s15"},
		}},
		Grants: []Grant{Grant{
			Seq:    18,
			Queue:  19,
			Server: "s20",
			Addr:   Addr{22, 2, 3},
		}},
		Ends: []End{End{
			Seq:   24,
			Cost:  25,
			Flags: 27,
			First: 27,
			Total: 28,
		}},
		Held: &Held{Seqs: []uint64{32}, Costs: []msg.Cost{34}},
		Asks: []Ask{Ask{Pool: "s37", Count: 38, Version: 39}},
		Haves: []Have{Have{
			Pool:    "s42",
			Slots:   43,
			Idle:    44,
			Version: 45,
		}},
		Admitters: []Admitters{Admitters{
			Pool:    "s48",
			Version: 49,
			Routers: []msg.RouterID{"s51"},
			Slots:   []int{53},
		}},
		Offers: []Offer{Offer{
			Pool:     "s56",
			Admitter: "s57",
			Idle:     58,
			Restart:  59,
		}},
		Up: &Up{
			Edge: 62,
			Seq:  63,
			Base: 64,
			Pools: []PoolCount{PoolCount{
				Pool:  "s67",
				Floor: 68,
				Data:  []byte{70, 2, 3},
				Unit:  70,
				Slots: 71,
			}},
			Floors: []PoolCount{PoolCount{
				Pool:  "s74",
				Floor: 75,
				Data:  []byte{77, 2, 3},
				Unit:  77,
				Slots: 78,
			}},
			Settings: 79,
		},
		Down: &Down{
			Edge:     82,
			Seq:      83,
			Ack:      84,
			Included: 85,
			Pools: []PoolCount{PoolCount{
				Pool:  "s88",
				Floor: 89,
				Data:  []byte{91, 2, 3},
				Unit:  91,
				Slots: 92,
			}},
			Settings: 93,
		},
		Forgot: []uint64{95},
	})
}
