package ctl

import (
	"context"
	"fmt"
	"time"
)

const lookEvery = 200 * time.Millisecond

// waitInForce looks at the live routers until each has the version or a
// higher one, and shows progress. The result goes to out.
func (a *app) waitInForce(ctx context.Context, version uint64, wait time.Duration, out *applied) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	last := ""
	lag := &LaggingError{Version: version, After: wait}
	for looks := 0; ; looks++ {
		routers, err := a.routers(ctx)
		// A later look that the wait cuts short knows less than the one before.
		if ctx.Err() != nil && looks > 0 {
			return lag
		}
		lag.Err = err
		if err == nil {
			out.InForce, out.Lagging = split(routers, version)
			lag.Routers = out.Lagging
		}
		line := progress(len(out.InForce), len(out.Lagging), err)
		if line != last {
			a.printf(a.note, "%5.1f s  version %d %s\n", time.Since(start).Seconds(), version, line)
			last = line
		}
		if err == nil && len(out.InForce) > 0 && len(out.Lagging) == 0 {
			return nil
		}
		if !pause(ctx, lookEvery) {
			return lag
		}
	}
}

func progress(done, lagging int, err error) string {
	if err != nil {
		return "cannot be looked for: " + err.Error()
	}
	return fmt.Sprintf("is in force on %d of %d live routers", done, done+lagging)
}

// split names the live routers that have the version, and those that don't
// with what they have. Leaving routers are not waited for.
func split(routers []router, version uint64) (done, lagging []string) {
	done, lagging = []string{}, []string{}
	for _, r := range routers {
		switch {
		case r.Leaving:
		case r.Error != "":
			lagging = append(lagging, r.ID+" (no answer)")
		case r.Status.SettingsVersion < version:
			lagging = append(lagging, fmt.Sprintf("%s (version %d)", r.ID, r.Status.SettingsVersion))
		default:
			done = append(done, r.ID)
		}
	}
	return done, lagging
}

// pause returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
