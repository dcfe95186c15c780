package ctl

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// InputError says that a file can't be read.
type InputError struct {
	Err error // the cause, which names the file
}

// Error implements error.
func (e *InputError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Err }

// RouterError says that a router's admin listener did not answer as it
// should.
type RouterError struct {
	Router string
	Status int   // 0: no answer
	Err    error // the cause, may be nil
}

// Error implements error.
func (e *RouterError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("router %s answers %d %s", e.Router, e.Status, http.StatusText(e.Status))
	}
	return fmt.Sprintf("router %s: %v", e.Router, e.Err)
}

// Unwrap returns the cause.
func (e *RouterError) Unwrap() error { return e.Err }

// exited says that nothing listens at a router's address any more. That it
// does not answer in time says less: it may be paused or cut off.
func exited(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// NoRouterError says that a router is not in the host list, or that none is.
type NoRouterError struct {
	Router string // "": none at all
}

// Error implements error.
func (e *NoRouterError) Error() string {
	if e.Router == "" {
		return "no router answers"
	}
	return "no router " + e.Router + " in the host list"
}

// LaggingError says that an accepted version is not in force on every live
// router yet. It stays accepted.
type LaggingError struct {
	Version uint64
	Routers []string // each with what it has
	After   time.Duration
	Err     error // why the host list could not be read last, nil if it was
}

// Unwrap returns the cause.
func (e *LaggingError) Unwrap() error { return e.Err }

// Error implements error.
func (e *LaggingError) Error() string {
	if e.Err != nil && len(e.Routers) == 0 {
		return fmt.Sprintf("version %d is accepted, but where it is in force can't be seen: %v", e.Version, e.Err)
	}
	if len(e.Routers) == 0 {
		return fmt.Sprintf("version %d is accepted, but the host list shows no live router", e.Version)
	}
	return fmt.Sprintf("version %d is accepted, but after %s not in force on %s",
		e.Version, e.After, strings.Join(e.Routers, ", "))
}

// RunningError says that a router still serves requests after the wait.
type RunningError struct {
	Router  string
	Running int
	After   time.Duration
}

// Error implements error.
func (e *RunningError) Error() string {
	return fmt.Sprintf("router %s still runs %d requests after %s; it goes on draining", e.Router, e.Running, e.After)
}
