package load

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	jujuerrors "github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/problem"
)

// Options bound a run.
type Options struct {
	Duration       time.Duration // how long requests are sent
	Grace          time.Duration // how long answers are awaited after that
	Seed           uint64
	MaxOutstanding int      // requests in progress in each open loop
	Records        []string // base URLs of backend servers whose records are compared
}

const (
	refusedPause = 100 * time.Millisecond // before the next request, if no Retry-After was said
	maxPause     = 30 * time.Second
)

// NoCertificateError says that a CA file holds no certificate.
type NoCertificateError struct {
	File string
}

// Error implements error.
func (e *NoCertificateError) Error() string { return "no certificate in " + e.File }

// Run plays the sections and reports. It returns early when ctx ends.
func Run(ctx context.Context, sections []Section, opts Options) (*Report, error) {
	start := time.Now()
	sending, stopSending := context.WithTimeout(ctx, opts.Duration)
	defer stopSending()
	waiting, stopWaiting := context.WithTimeout(ctx, opts.Duration+opts.Grace)
	defer stopWaiting()
	players := make([]*player, len(sections))
	for i := range sections {
		p, err := newPlayer(&sections[i], opts, start)
		if err != nil {
			return nil, err
		}
		players[i] = p
	}
	var group errgroup.Group
	for _, p := range players {
		group.Go(func() error { return p.play(sending, waiting) })
	}
	if err := group.Wait(); err != nil {
		return nil, jujuerrors.Annotate(err, "generate requests")
	}
	report := newReport(players, opts.Seed, min(opts.Duration, time.Since(start)))
	if len(opts.Records) > 0 {
		report.Records = compareRecords(context.WithoutCancel(ctx), players, opts.Records)
	}
	report.Wrong = report.TotalWrong()
	return report, nil
}

// player plays one section.
type player struct {
	section *Section
	opts    Options
	start   time.Time
	client  client
	tally   *tally

	mu   sync.Mutex
	left int // requests that may still be drawn; -1: no limit
}

// newPlayer returns the player of one section, with connections of its own.
func newPlayer(s *Section, opts Options, start time.Time) (*player, error) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: max(opts.MaxOutstanding, s.Workers),
		IdleConnTimeout:     time.Minute,
		ForceAttemptHTTP2:   s.CA != "",
	}
	if s.CA != "" {
		pool, err := readCA(s.CA)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	left := s.Count
	if left == 0 {
		left = -1
	}
	sending := opts.Duration
	if s.Stop > 0 {
		sending = min(sending, s.Stop)
	}
	tally := newTally(start, start.Add(sending))
	return &player{
		section: s, opts: opts, start: start, tally: tally, left: left,
		client: client{http: &http.Client{Transport: transport}, section: s, report: tally.noteProgress},
	}, nil
}

func readCA(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, jujuerrors.Annotate(err, "read the CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &NoCertificateError{File: file}
	}
	return pool, nil
}

// play sends the section's requests until sending ends and returns once all
// have their results, or waiting ends.
func (p *player) play(sending, waiting context.Context) error {
	if !pause.For(sending, p.section.Start) {
		return nil
	}
	if p.section.Stop > 0 {
		var cancel context.CancelFunc
		sending, cancel = context.WithDeadline(sending, p.start.Add(p.section.Stop))
		defer cancel()
	}
	if p.section.Rate > 0 {
		return p.open(sending, waiting)
	}
	return p.closed(sending, waiting)
}

// draw says whether one more request may be sent.
func (p *player) draw() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == 0 {
		return false
	}
	if p.left > 0 {
		p.left--
	}
	return true
}

// open sends at Poisson times, whatever becomes of the requests before.
func (p *player) open(sending, waiting context.Context) error {
	gen := newGenerator(p.section, p.opts.Seed, 0)
	slots := make(chan struct{}, p.opts.MaxOutstanding)
	var group errgroup.Group
	last := time.Now()
	for p.draw() {
		due := last.Add(time.Duration(gen.rng.ExpFloat64() / p.section.Rate * float64(time.Second)))
		last = due
		if !pause.For(sending, time.Until(due)) {
			break
		}
		r, err := gen.next()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
		default:
			p.tally.noteSkipped()
			continue
		}
		jitter := rand.New(rand.NewPCG(p.opts.Seed, gen.rng.Uint64()))
		group.Go(func() error {
			defer func() { <-slots }()
			p.attempt(waiting, r, due, jitter)
			return nil
		})
	}
	return group.Wait()
}

// closed lets each caller send its next request when the one before is over.
func (p *player) closed(sending, waiting context.Context) error {
	var group errgroup.Group
	for i := range p.section.Workers {
		group.Go(func() error { return p.caller(sending, waiting, i) })
	}
	return group.Wait()
}

// caller is one caller of a closed loop; n tells the callers apart.
func (p *player) caller(sending, waiting context.Context, n int) error {
	gen := newGenerator(p.section, p.opts.Seed, n+1)
	gen.seq = n
	for sending.Err() == nil && p.draw() {
		r, err := gen.next()
		if err != nil {
			return err
		}
		res := p.attempt(waiting, r, time.Now(), gen.rng)
		if res.class != Whole && !pause.For(sending, waitAfter(res, gen.rng)) {
			return nil
		}
	}
	return nil
}

// attempt sends a request, and again as often as the section repeats one that
// was refused or got no answer, each time to the next target, and returns the
// last result.
func (p *player) attempt(waiting context.Context, r *request, due time.Time, rng *rand.Rand) result {
	for try := 0; ; try++ {
		p.tally.noteSent(r)
		res := p.sendToAny(waiting, r)
		p.tally.noteResult(r, due, res, waiting.Err() != nil)
		again := res.class == Refused || res.class == Broken || res.class == NotSent
		if !again || try == p.section.Retries || !pause.For(waiting, waitAfter(res, rng)) {
			return res
		}
		due = time.Now()
		r.target = p.section.after(r.target)
	}
}

// sendToAny sends a request once, as the platform's balancer would: past
// targets that don't accept connections or say that they are not ready, which
// is certain not to have run it.
func (p *player) sendToAny(waiting context.Context, r *request) result {
	for left := len(p.section.Targets) - 1; ; left-- {
		res := p.client.send(waiting, r)
		notReady := res.class == Refused && res.ran == "no" && res.problem == problem.NotReady.URN()
		if left == 0 || res.class != NotSent && !notReady {
			return res
		}
		p.tally.noteMoved(res)
		r.target = p.section.after(r.target)
	}
}

// waitAfter is how long a caller waits after a request that was not answered: what
// it was told, or a while, and up to half as much again so that callers don't
// come back together.
func waitAfter(res result, rng *rand.Rand) time.Duration {
	d := refusedPause
	if res.retryAfter > 0 {
		d = min(res.retryAfter, maxPause)
	}
	return d + time.Duration(rng.Float64()*float64(d)/2)
}
