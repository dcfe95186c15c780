package main

import (
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

// truncateKind is a fault that is drawn only if it is named, so that it doesn't change what a seed draws:
// a server crashes in the middle of a response without a length. It ends its connections in order, and
// is back some time later.
const truncateKind = "truncate"

// truncatePause is the time from one such crash to the next one.
const truncatePause = time.Second

// truncate makes a plain server crash in the middle of one of the close-delimited responses that it sends
// for a while. One such fault at a time: sound requests of one content would be held back if several
// servers crashed under them at once.
func (f *fleet) truncate(x fault) {
	f.truncations.Lock()
	defer f.truncations.Unlock()
	list := f.live("app")
	if len(list) < 2 {
		return
	}
	s := list[x.Who%len(list)]
	var crashed atomic.Bool
	s.SetFault(func(string) platformtest.Fault {
		if crashed.CompareAndSwap(false, true) {
			s.truncates.Store(true)
			return platformtest.CrashInBody
		}
		return platformtest.CloseDelimited
	})
	time.Sleep(truncatePause)
	s.SetFault(nil)
}
