package main

import (
	"bytes"
	"fmt"
	"os"

	logged "github.com/windscale/windscale/internal/events"
)

// relayKinds are the faults that are drawn with --relay.
var relayKinds = []string{"config", "crash", "flood", "grey", "kill", "killall", "link", "pause", "reborn", "reload", "starve", "stop", "store"}

// relayStarts returns how often routers began to relay callers, by their logs.
func (f *fleet) relayStarts() int {
	return f.logged(fmt.Sprintf(`"event":%d,`, logged.RelayStarted.Num))
}

// logged returns how often a text stands in the routers' logs.
func (f *fleet) logged(text string) (n int) {
	for _, r := range f.routers {
		log, err := os.ReadFile(r.log)
		if err != nil {
			f.verdicts.report(noUnaskedExit, "%s has no log: %v", r.name, err)
		}
		n += bytes.Count(log, []byte(text))
	}
	return n
}
