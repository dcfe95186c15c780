package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// dropOneIn is how many streams a caller begins for one that it drops midway to resume it at
	// another router.
	dropOneIn = 6
	// resumeTries is how often a caller tries to resume a stream, and resumePause the longest pause
	// before a try.
	resumeTries = 3
	resumePause = 20 * time.Millisecond
	// inTouch is for how long a router must have run undisturbed for its refusals to count.
	inTouch = 3 * time.Second
	// minResumes is the number of resumed streams from which their share is checked.
	minResumes = 12
)

// eventEnd ends each event of a stream.
const eventEnd = "\n\n"

// readStream reads a body up to the limit of events, 0: all of it. A limit that was reached is
// reported as context.Canceled, which is how the caller then ends the request.
func readStream(body io.Reader, limit int) (string, error) {
	if limit == 0 {
		text, err := io.ReadAll(body)
		return string(text), err
	}
	var text strings.Builder
	buf := make([]byte, 512)
	for strings.Count(text.String(), eventEnd) < limit {
		n, err := body.Read(buf)
		text.Write(buf[:n])
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
	return text.String(), context.Canceled
}

// resume resumes a stream that broke off after it had brought events, each time at another router.
func (c *callers) resume(ctx context.Context, client *http.Client, first *sent, prompt string, rng *rand.Rand) {
	last := first
	for range resumeTries {
		if last.lastEvent == 0 || last.whole || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(rng.Int64N(int64(resumePause))))
		next := c.add(&sent{key: first.key, path: first.path, body: first.body, resumes: first.id, after: last.lastEvent, lastEvent: last.lastEvent})
		r := c.fleet.routers[rng.IntN(len(c.fleet.routers))]
		next.eligible = c.fleet.resumesCount(r, c.versionOf(first.id))
		c.exchange(ctx, client, r, next, http.MethodPost, prompt, 0, func(h http.Header) {
			platformtest.SetResumeHeaders(h, first.id, strconv.Itoa(next.after))
		})
		last = next
	}
}

// resumesCount reports whether a refusal of a resumed stream at the router counts: the router has run
// undisturbed, and two servers of the stream's version serve.
func (f *fleet) resumesCount(r *router, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.cmd == nil || r.stopped {
		return false
	}
	disturbed := func(at time.Time) bool { return time.Since(at) < inTouch }
	if slices.ContainsFunc(r.interruptions, disturbed) {
		return false
	}
	serving := 0
	for _, s := range f.servers {
		if s.Version == version && s.Service == "llm" && s.left.IsZero() && !s.draining && !slices.ContainsFunc(s.interruptions, disturbed) {
			serving++
		}
	}
	return serving >= 2
}

// versionOf returns the version of the server that wrote the first event of the attempt's stream.
func (c *callers) versionOf(attempt string) string {
	return firstVersion(c.fleet.runsOf(attempt))
}

// runsOf returns the runs of an attempt at all servers in the order of their beginning.
func (f *fleet) runsOf(attempt string) (runs []platformtest.Run) {
	f.mu.Lock()
	servers := slices.Clone(f.servers)
	f.mu.Unlock()
	for _, s := range servers {
		runs = append(runs, s.RunsOf(attempt)...)
	}
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	return runs
}

// firstVersion returns the version that wrote the first event: that of the last run that began at the
// first event, since a run that brought an event is continued from there.
func firstVersion(runs []platformtest.Run) (version string) {
	for _, run := range runs {
		if run.LastEventID == "" {
			version = run.Version
		}
	}
	return version
}

// checkVersions checks that what continues a stream runs at the version that began it, and that
// enough resumed streams go on. The callers have ended.
func (c *callers) checkVersions() (resumed, goneOn int) {
	eligible, eligibleOn, begun, begunOn := 0, 0, 0, 0
	for _, s := range c.sent {
		if s.path != "/s/x" {
			continue
		}
		first := s.id
		if s.resumes != "" {
			first = s.resumes
		}
		version := c.versionOf(first)
		for _, run := range c.fleet.runsOf(s.id) {
			if run.LastEventID != "" && run.Version != version {
				c.fleet.verdicts.report(oneVersion, "%s began as %s at %s and went on after event %s at %s", s.id, first, version, run.LastEventID, run.Version)
			}
		}
		if s.resumes == "" {
			begun++
			begunOn += count(s.status == http.StatusOK)
			continue
		}
		resumed++
		goneOn += count(s.status == http.StatusOK)
		if s.eligible {
			eligible++
			eligibleOn += count(s.status == http.StatusOK)
		}
	}
	if eligible >= minResumes && 2*eligibleOn*begun < begunOn*eligible {
		c.fleet.verdicts.report(resumesGoOn, "%d of %d resumed streams went on, %d of %d new ones began", eligibleOn, eligible, begunOn, begun)
	}
	return resumed, goneOn
}

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
