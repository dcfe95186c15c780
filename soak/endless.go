package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// endlessKind is a fault that is drawn only if it is named: all servers, or those of one service, answer
	// a part of their requests with bytes that never end. Routers then have the memory of a small host.
	endlessKind   = "endless"
	smallMemoryMB = 88
	// endlessShare is one in how many requests are answered so.
	endlessShare = 8
	// memoryInterval is how often the memory of the routers is read.
	memoryInterval = 10 * time.Millisecond
)

// endlessOf are the endless responses of each service.
var endlessOf = map[string][]platformtest.Fault{
	"llm": {platformtest.EndlessGarbage, platformtest.EndlessHead, platformtest.EndlessInformational, platformtest.EndlessEvent, platformtest.EndlessChunkSize, platformtest.EndlessMismatch},
	"app": {platformtest.EndlessGarbage, platformtest.EndlessHead, platformtest.EndlessInformational, platformtest.EndlessTrailer, platformtest.EndlessMismatch},
}

// memoryOf returns the memory of routers in MB under a schedule.
func memoryOf(list []fault) int {
	if has(list, endlessKind) {
		return smallMemoryMB
	}
	return memoryMB
}

// sendEndless has servers send endless responses for a while.
func (f *fleet) sendEndless(x fault) {
	for _, s := range f.faultyServers(x) {
		failOneIn(s, endlessShare, x.Who, endlessOf[s.Service])
		defer s.SetFault(nil)
	}
	time.Sleep(x.For)
}

// faultyServers returns the servers of both services or of one of them.
func (f *fleet) faultyServers(x fault) (list []*server) {
	for _, service := range [][]string{{"llm", "app"}, {"llm"}, {"app"}}[x.How%3] {
		list = append(list, f.live(service)...)
	}
	return list
}

// failOneIn makes one in so many requests to a server fail, by each of the faults in turn.
func failOneIn(s *server, share, first int, faults []platformtest.Fault) {
	n := first
	s.SetFault(func(string) platformtest.Fault {
		n++
		if n%share != 0 {
			return platformtest.NoFault
		}
		return faults[n/share%len(faults)]
	})
}

// watchMemory reports routers that exceed their memory, until stop is closed.
func (f *fleet) watchMemory(stop <-chan struct{}) {
	reported := map[int]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		for name, pid := range f.running() {
			used := anonymousMB(pid)
			f.peakMB = max(f.peakMB, used)
			if used > f.memoryMB && !reported[pid] {
				reported[pid] = true
				f.verdicts.report(withinMemory, "%s uses %d MB of %d", name, used, f.memoryMB)
			}
		}
	}
}

// running returns the process IDs of the routers that run.
func (f *fleet) running() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	pids := map[string]int{}
	for _, r := range f.routers {
		if r.cmd != nil {
			pids[r.name] = r.cmd.Process.Pid
		}
	}
	return pids
}

// anonymousMB returns the memory of a process without its program's file in MB; 0 if it has ended.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		value, ok := strings.CutPrefix(line, "RssAnon:")
		if !ok {
			continue
		}
		kb, err := strconv.Atoi(strings.Fields(value)[0])
		if err != nil {
			return 0
		}
		return kb >> 10
	}
	return 0
}
