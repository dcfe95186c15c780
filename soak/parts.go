package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// deadPart begins the IDs of prompt parts under which servers crash, partAttempt the IDs of the
	// attempts that have one.
	deadPart    = "dead-"
	partAttempt = "part-"
	// partEvery is the pause between two such requests, each to another router.
	partEvery = 300 * time.Millisecond
	// partsFor is for how long such requests come beside the fault's own time.
	partsFor = 6 * time.Second
	// crashesOfAPart is the number of crashes after which, with a delay of inTouch, at most
	// sentAfterwards requests with the part may reach servers.
	crashesOfAPart = 5
	sentAfterwards = 3
)

func isDeadPart(id string) bool { return strings.HasPrefix(id, deadPart) }

// deadParts sends requests, no two alike, whose prompts share a part that crashes each server which
// answers one of them, to one router after the other. The part stands at any place but the last; the
// other parts and the customer are those of sound requests.
func (f *fleet) deadParts(x fault) {
	part := fmt.Sprintf("%s%d:50", deadPart, x.At)
	prefix := fmt.Sprintf("%s%d-", partAttempt, x.At)
	prompts := []string{"p:200," + part, "p:200," + part + ",s3:3000", "p:200,s4:3000," + part, part + ",s5:3000"}
	begin := time.Now()
	for n := 0; time.Since(begin) < x.For+partsFor; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		id := fmt.Sprintf("%s%d", prefix, n)
		f.send(ctx, f.routers[(x.Who+n)%len(f.routers)], "/s/x", id, "key-a", "body of "+id, fmt.Sprintf("%s,own%d:100", prompts[n%len(prompts)], n))
		cancel()
		time.Sleep(partEvery)
	}
	f.checkPartStops(prefix, x.Who, begin)
}

// checkPartStops checks how many requests with the part reached servers after they should have stopped,
// from routers that were in touch.
func (f *fleet) checkPartStops(prefix string, who int, begin time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var crashes []time.Time
	for _, at := range f.crashedAt {
		if at.After(begin) {
			crashes = append(crashes, at)
		}
	}
	if len(crashes) < crashesOfAPart {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	stop := crashes[crashesOfAPart-1].Add(inTouch)
	late := 0
	for _, s := range f.servers {
		for _, run := range s.Runs() {
			text, ok := strings.CutPrefix(run.Attempt, prefix)
			n, err := strconv.Atoi(text)
			if !ok || err != nil || !run.At.After(stop) || f.storeWasTroubled(run.At) {
				continue
			}
			r := f.routers[(who+n)%len(f.routers)]
			disturbed := slices.ContainsFunc(r.interruptions, func(at time.Time) bool { return at.After(run.At.Add(-inTouch)) && at.Before(run.At) })
			if !disturbed {
				late++
			}
		}
	}
	if late > sentAfterwards {
		f.verdicts.report(partStops, "%d requests with the part %s after the fifth of %d crashes", late, inTouch, len(crashes))
	}
}
