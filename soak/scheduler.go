package main

import "syscall"

const (
	// scheduledEngines is how many engines a data centre needs for a scheduler, and two that may fail.
	scheduledEngines = 12
	// schedulerKind is the fault that is drawn with --scheduler beside relayKinds: the scheduler is
	// killed or paused.
	schedulerKind = "scheduler"
)

// loseScheduler kills the router that schedules and starts it again, or freezes it for a while.
func (f *fleet) loseScheduler(x fault) {
	r := f.firstRunning()
	if x.How%2 == 0 {
		f.signal(r, syscall.SIGKILL)
		f.restart(r, x.For)
		return
	}
	f.freeze(r, x.For)
}

// firstRunning returns the router with the lowest address of those that run, which schedules since all
// have the same number of cores.
func (f *fleet) firstRunning() *router {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.cmd != nil && !r.stopped {
			return r
		}
	}
	return f.routers[0]
}

// scheduledCount returns how many requests were sent as a scheduler decided, of those that are logged.
func (f *fleet) scheduledCount() int { return f.logged(`"by":"scheduler"`) }
