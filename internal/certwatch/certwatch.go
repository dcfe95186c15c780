// Package certwatch keeps the certificates of a process up to date with their
// files, without a restart: it reads the files every few seconds and, when
// they have changed and are fit for use, puts them in force for the
// connections that begin from then on. Files that are not fit change nothing.
package certwatch

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/fleetcert"
)

// Period is the time between two looks at the files. The files are compared by
// their content: they are small, and a modification time can miss a change.
const Period = 5 * time.Second

// A certificate in force that has less than renewTime left is reported once
// every remindTime.
const (
	renewTime  = 30 * 24 * time.Hour
	remindTime = 24 * time.Hour
)

// Watch holds the credentials in force. It is a [fleetcert.Source]; all of its
// methods but Run may be called from any goroutine.
type Watch struct {
	name    string
	files   []string
	parse   func(texts [][]byte) (fleetcert.Credentials, error)
	check   func(c fleetcert.Credentials, now time.Time) error
	log     *slog.Logger
	current atomic.Pointer[fleetcert.Credentials]
	taken   digest    // of the files in force
	refused digest    // of the files refused last; zero: none since
	remind  time.Time // when an expiry is reported next
}

// digest is that of the files' contents, or of what kept them from being read.
type digest [sha256.Size]byte

// Fleet reads the fleet identity of the given router and watches its files.
// The error is one of fleetcert.
func Fleet(id msg.RouterID, ca, cert, key string, log *slog.Logger) (*Watch, error) {
	w := &Watch{
		name:  "fleet identity",
		files: []string{ca, cert, key},
		parse: parseFleet,
		check: func(c fleetcert.Credentials, now time.Time) error { return c.CheckRouter(id, now) },
		log:   log,
	}
	return w, w.first()
}

// Entry reads the certificate that callers see and watches its files. The
// error is one of fleetcert.
func Entry(cert, key string, log *slog.Logger) (*Watch, error) {
	w := &Watch{
		name:  "callers",
		files: []string{cert, key},
		parse: parseEntry,
		check: fleetcert.Credentials.CheckTime,
		log:   log,
	}
	return w, w.first()
}

func parseFleet(texts [][]byte) (fleetcert.Credentials, error) {
	pool, err := fleetcert.ParsePool(texts[0])
	if err != nil {
		return fleetcert.Credentials{}, err
	}
	return fleetcert.NewCredentials(fleetcert.Pair{Cert: texts[1], Key: texts[2]}, pool)
}

func parseEntry(texts [][]byte) (fleetcert.Credentials, error) {
	return fleetcert.NewCredentials(fleetcert.Pair{Cert: texts[0], Key: texts[1]}, nil)
}

// Current returns the credentials in force.
func (w *Watch) Current() fleetcert.Credentials { return *w.current.Load() }

// Certificate returns the certificate in force, as tls.Config.GetCertificate
// wants it.
func (w *Watch) Certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &w.current.Load().Cert, nil
}

// Run looks at the files until ctx ends. The error is nil.
func (w *Watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			w.look(ctx, now)
			w.remindExpiry(ctx, now)
		}
	}
}

// first reads the files at the start. A certificate that has expired is taken
// too: a router without links serves its callers better than none.
func (w *Watch) first() error {
	texts, taken, err := w.read()
	if err != nil {
		return err
	}
	c, err := w.parse(texts)
	if err != nil {
		return err
	}
	w.taken = taken
	w.current.Store(&c)
	return nil
}

// look puts the files in force if they have changed and are fit for use. Files
// that are not are tried again at each look, since a certificate may become
// valid with time, but reported once.
func (w *Watch) look(ctx context.Context, now time.Time) {
	texts, seen, err := w.read()
	if seen == w.taken {
		w.refused = digest{}
		return
	}
	var c fleetcert.Credentials
	if err == nil {
		c, err = w.parse(texts)
	}
	if err == nil {
		err = w.check(c, now)
	}
	if err != nil {
		w.refuse(ctx, seen, err)
		return
	}
	w.taken = seen
	w.refused = digest{}
	w.current.Store(&c)
	events.CertificateReplaced.Log(ctx, w.log, slog.LevelInfo, "certificate", w.name, "until", c.Cert.Leaf.NotAfter)
}

func (w *Watch) refuse(ctx context.Context, seen digest, err error) {
	if seen == w.refused {
		return
	}
	w.refused = seen
	events.CertificateRefused.Log(ctx, w.log, slog.LevelError, "certificate", w.name, "err", err)
}

// remindExpiry reports a certificate in force that expires soon or has expired.
func (w *Watch) remindExpiry(ctx context.Context, now time.Time) {
	until := w.Current().Cert.Leaf.NotAfter
	if until.Sub(now) >= renewTime || now.Before(w.remind) {
		return
	}
	w.remind = now.Add(remindTime)
	events.CertificateExpires.Log(ctx, w.log, slog.LevelWarn, "certificate", w.name, "until", until)
}

// read returns the files' texts and a digest of all, or of what kept it from
// reading them.
func (w *Watch) read() ([][]byte, digest, error) {
	var texts [][]byte
	var sums []byte
	for _, file := range w.files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, sha256.Sum256([]byte(err.Error())), &fleetcert.Error{Kind: fleetcert.KindFile, Subject: file, Err: err}
		}
		texts = append(texts, text)
		one := sha256.Sum256(text)
		sums = append(sums, one[:]...)
	}
	return texts, sha256.Sum256(sums), nil
}
