package main

import (
	"fmt"
	"testing"

	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/wire"
)

func TestParts(t *testing.T) {
	for _, n := range []int{16, 64} {
		f := newFleet(scaled(n, 100))
		f.populate()
		f.run(simWarm)
		parts := map[string]int{}
		cnt := map[string]int{}
		partsHook = func(m *share.Message) {
			add := func(name string, n int, p *share.Message) {
				if n == 0 {
					return
				}
				b, _ := wire.Marshal(p)
				e, _ := wire.Marshal(&share.Message{})
				parts[name] += len(b) - len(e)
				cnt[name] += n
			}
			add("waits", len(m.Waits), &share.Message{Waits: m.Waits})
			add("grants", len(m.Grants), &share.Message{Grants: m.Grants})
			add("ends", len(m.Ends), &share.Message{Ends: m.Ends})
			add("asks", len(m.Asks), &share.Message{Asks: m.Asks})
			add("haves", len(m.Haves), &share.Message{Haves: m.Haves})
			add("adm", len(m.Admitters), &share.Message{Admitters: m.Admitters})
			add("offers", len(m.Offers), &share.Message{Offers: m.Offers})
			if m.Held != nil {
				add("held", max(1, len(m.Held.Seqs)), &share.Message{Held: m.Held})
			}
			if m.Up != nil {
				add("up", 1, &share.Message{Up: m.Up})
			}
			if m.Down != nil {
				add("down", 1, &share.Message{Down: m.Down})
			}
		}
		f.messages, f.bytes, f.grants = 0, 0, 0
		f.run(simRun)
		partsHook = nil
		sec := simRun.Seconds() * float64(n)
		fmt.Println(n, "bytes/s", float64(f.bytes)/sec, "msgs/s", float64(f.messages)/sec, "grants/s", float64(f.grants)/sec)
		for k, v := range parts {
			fmt.Printf("   %-8s %7.0f B/s  %7.2f items/s\n", k, float64(v)/sec, float64(cnt[k])/sec)
		}
	}
}
