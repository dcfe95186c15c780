package hosts

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/platform"
)

// list is a host list that may be down or hang.
type list struct {
	hosts []platform.Host
	err   error
	hang  bool
}

// source answers as the list set last.
type source struct{ atomic.Pointer[list] }

func (s *source) Hosts(ctx context.Context) ([]platform.Host, error) {
	l := s.Load()
	if l.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l.hosts, l.err
}

// The last list read stays in use while the platform is down or silent, each
// outage is logged once, and the list is followed again after it.
func TestLastListIsKeptInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := []platform.Host{{ID: "s1", Role: platform.RoleServer}, {ID: "r1", Role: platform.RoleRouter}}
		src := &source{}
		src.Store(&list{hosts: hosts})
		var log bytes.Buffer
		changes := 0
		f := NewFollower(src, NewList(nil), slog.New(slog.NewTextHandler(&log, nil)), func(*List) { changes++ })
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		pass := func() { time.Sleep(10 * time.Second); synctest.Wait() }
		pass()
		assert.Equal(t, len(f.Current().Servers)+len(f.Current().Routers), 2)
		assert.Assert(t, f.Stats().Age <= 2*Interval)
		for _, hang := range []bool{false, true} {
			src.Store(&list{hang: hang, err: &platform.Error{Kind: platform.KindUnavailable}})
			pass()
			before, errs := changes, f.Stats().Errors
			pass()
			assert.Equal(t, len(f.Current().All), 2)
			assert.Equal(t, changes, before)
			assert.Assert(t, f.Stats().Errors > errs && f.Stats().Age >= 10*time.Second)
			src.Store(&list{hosts: hosts})
			pass()
		}
		src.Store(&list{hosts: hosts[:1]})
		pass()
		assert.Equal(t, len(f.Current().Routers), 0)
		assert.Equal(t, strings.Count(log.String(), "cannot be read"), 2)
		assert.Equal(t, strings.Count(log.String(), "can be read again"), 2)
		stop()
		assert.NilError(t, <-done)
	})
}
