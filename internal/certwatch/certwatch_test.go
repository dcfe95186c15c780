package certwatch

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
)

// files are a router's ca.pem, cert.pem and key.pem.
type files struct {
	t   *testing.T
	dir string
	log bytes.Buffer
}

func (f *files) path(name string) string { return filepath.Join(f.dir, name) }

func (f *files) write(name string, text []byte) {
	assert.NilError(f.t, os.WriteFile(f.path(name), text, 0o600))
}

func (f *files) pair(p fleetcert.Pair) {
	f.write("key.pem", p.Key)
	f.write("cert.pem", p.Cert)
}

// events returns the numbers logged since the last call.
func (f *files) events() []string {
	var all []string
	for line := range strings.Lines(f.log.String()) {
		_, after, _ := strings.Cut(line, "event=")
		all = append(all, after[:3])
	}
	f.log.Reset()
	return all
}

func authority(t *testing.T) *fleetcert.Authority {
	a, err := fleetcert.NewAuthority(time.Now())
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *fleetcert.Authority, id msg.RouterID, at time.Time) fleetcert.Pair {
	p, err := a.Router(id, nil, at)
	assert.NilError(t, err)
	return p
}

func newFiles(t *testing.T, a *fleetcert.Authority) (*files, *Watch) {
	f := &files{t: t, dir: t.TempDir()}
	f.write("ca.pem", a.Pair().Cert)
	f.pair(issue(t, a, "r1", time.Now()))
	log := slog.New(slog.NewTextHandler(&f.log, nil))
	w, err := Fleet("r1", f.path("ca.pem"), f.path("cert.pem"), f.path("key.pem"), log)
	assert.NilError(t, err)
	return f, w
}

func TestOnlyFilesFitForUseComeInForce(t *testing.T) {
	now := time.Now()
	a, b := authority(t), authority(t)
	operator, err := a.Operator("ana", now)
	assert.NilError(t, err)
	good := issue(t, a, "r1", now)
	cases := map[string]struct {
		ca   []byte
		pair fleetcert.Pair
		want string // the event
	}{
		"a new pair":               {a.Pair().Cert, good, "112"},
		"key of another pair":      {a.Pair().Cert, fleetcert.Pair{Cert: good.Cert, Key: operator.Key}, "113"},
		"half a certificate":       {a.Pair().Cert, fleetcert.Pair{Cert: good.Cert[:99], Key: good.Key}, "113"},
		"expired":                  {a.Pair().Cert, issue(t, a, "r1", now.AddDate(-5, 0, 0)), "113"},
		"not valid yet":            {a.Pair().Cert, issue(t, a, "r1", now.AddDate(1, 0, 0)), "113"},
		"another router's":         {a.Pair().Cert, issue(t, a, "r2", now), "113"},
		"an operator's":            {a.Pair().Cert, operator, "113"},
		"another CA's":             {a.Pair().Cert, issue(t, b, "r1", now), "113"},
		"a CA that isn't its own":  {b.Pair().Cert, good, "113"},
		"half of the second CA":    {append(slices.Clone(a.Pair().Cert), b.Pair().Cert[:99]...), good, "113"},
		"two CAs":                  {append(slices.Clone(a.Pair().Cert), b.Pair().Cert...), good, "112"},
		"a router's in place of a": {good.Cert, good, "113"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, w := newFiles(t, a)
			before := w.Current()
			w.look(t.Context(), now)
			f.write("ca.pem", c.ca)
			f.pair(c.pair)
			w.look(t.Context(), now)
			w.look(t.Context(), now) // reported once
			assert.DeepEqual(t, f.events(), []string{c.want})
			same := bytes.Equal(before.Cert.Certificate[0], w.Current().Cert.Certificate[0])
			assert.Equal(t, same, c.want == "113")
		})
	}
}

func TestRefusedFilesAreTriedAgain(t *testing.T) {
	a := authority(t)
	f, w := newFiles(t, a)
	now := time.Now()
	later := now.AddDate(1, 0, 0)
	f.pair(issue(t, a, "r1", later))
	w.look(t.Context(), now)
	w.look(t.Context(), later) // valid by now
	assert.NilError(t, os.Remove(f.path("key.pem")))
	w.look(t.Context(), later)
	f.pair(issue(t, a, "r1", later))
	w.look(t.Context(), later)
	assert.DeepEqual(t, f.events(), []string{"113", "112", "113", "112"})
}

func TestExpiryIsReportedOnceADay(t *testing.T) {
	a := authority(t)
	f, w := newFiles(t, a)
	until := w.Current().Cert.Leaf.NotAfter
	for now := until.Add(-renewTime - remindTime); now.Before(until.Add(2 * remindTime)); now = now.Add(remindTime / 4) {
		w.remindExpiry(t.Context(), now)
	}
	got := f.events()
	assert.Equal(t, len(got), int((renewTime+2*remindTime)/remindTime))
	assert.Equal(t, got[0], "114")
	f.pair(issue(t, a, "r1", until))
	w.look(t.Context(), until)
	w.remindExpiry(t.Context(), until.Add(9*remindTime))
	assert.DeepEqual(t, f.events(), []string{"112"})
}

// While one CA takes the place of another, routers of both trust each other.
func TestChangeOfCA(t *testing.T) {
	a, b := authority(t), authority(t)
	f1, w1 := newFiles(t, a)
	f2, w2 := newFiles(t, a)
	both := append(slices.Clone(a.Pair().Cert), b.Pair().Cert...)
	see := func() {
		t.Helper()
		w1.look(t.Context(), time.Now())
		w2.look(t.Context(), time.Now())
		assert.NilError(t, w1.Current().CheckRouter("r1", time.Now()))
		for _, c := range [][2]fleetcert.Credentials{{w1.Current(), w2.Current()}, {w2.Current(), w1.Current()}} {
			trusting := fleetcert.Credentials{Cert: c[0].Cert, CA: c[1].CA}
			assert.NilError(t, trusting.CheckRouter("r1", time.Now()))
		}
	}
	for _, step := range []func(){
		func() { f1.write("ca.pem", both) },
		func() { f2.write("ca.pem", both) },
		func() { f1.pair(issue(t, b, "r1", time.Now())) },
		func() { f2.pair(issue(t, b, "r1", time.Now())) },
		func() { f1.write("ca.pem", b.Pair().Cert) },
		func() { f2.write("ca.pem", b.Pair().Cert) },
	} {
		step()
		see()
	}
	assert.DeepEqual(t, f1.events(), []string{"112", "112", "112"})
	assert.DeepEqual(t, f2.events(), []string{"112", "112", "112"})
}

func TestRunTakesTheCallersPair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := authority(t)
		f, _ := newFiles(t, a)
		w, err := Entry(f.path("cert.pem"), f.path("key.pem"), slog.New(slog.NewTextHandler(&f.log, nil)))
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- w.Run(ctx) }()
		p := issue(t, a, "r1", time.Now())
		f.pair(p)
		time.Sleep(Period + time.Second)
		stop()
		assert.NilError(t, <-ended)
		want, err := fleetcert.NewCredentials(p, nil)
		assert.NilError(t, err)
		got, err := w.Certificate(nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Certificate, want.Cert.Certificate)
		assert.DeepEqual(t, f.events(), []string{"112"})
	})
}
