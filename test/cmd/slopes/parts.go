package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/wire"
)

// emptyMessage is the encoded length of a message without parts.
var emptyMessage = encodedLen(&share.Message{})

func encodedLen(m *share.Message) int {
	b, err := wire.Marshal(m)
	if err != nil {
		panic(err) // the nodes' messages can be encoded
	}
	return len(b)
}

// countParts adds up the bytes of a message's parts by kind.
func (f *simFleet) countParts(m *share.Message) {
	f.parts["message and envelope"] += emptyMessage + wire.EnvelopeOverhead
	for name, part := range map[string]*share.Message{
		"waits registered": {Waits: m.Waits},
		"grants":           {Grants: m.Grants},
		"ends":             {Ends: m.Ends},
		"keep-alives":      {Held: m.Held},
		"directory":        {Asks: m.Asks, Haves: m.Haves, Admitters: m.Admitters, Offers: m.Offers},
		"counters up":      {Up: m.Up},
		"counters down":    {Down: m.Down},
	} {
		if n := encodedLen(part) - emptyMessage; n > 0 {
			f.parts[name] += n
		}
	}
}

// partsTable lists what the messages for sharing are made of.
func partsTable(c control) string {
	var b strings.Builder
	b.WriteString("| part | bytes/s a router | share |\n|---|---|---|\n")
	total := 0.0
	for _, v := range c.parts {
		total += v
	}
	names := slices.SortedFunc(maps.Keys(c.parts), func(x, y string) int { return cmp.Compare(c.parts[y], c.parts[x]) })
	for _, name := range names {
		fmt.Fprintf(&b, "| %s | %s | %.0f%% |\n", name, number(c.parts[name]), 100*c.parts[name]/total)
	}
	return b.String()
}
