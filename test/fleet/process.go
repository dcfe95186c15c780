package fleet

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// stopGrace is how long Stop waits after SIGTERM before SIGKILL.
const stopGrace = 20 * time.Second

// tailBytes is how much of a log a failure shows.
const tailBytes = 2000

// Process is one running program whose output goes to a file.
type Process struct {
	Name string
	Log  string // path of the log file
	cmd  *exec.Cmd
	done chan struct{} // closed once the process is reaped
}

// start runs bin/PROGRAM with its output appended to DIR/NAME.log. The child
// is in its own process group, so that Ctrl-C reaches this program alone, and
// is killed if this program dies.
func start(bin, dir, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, Log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fail(err, "log of %s", name)
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fail(err, "start %s", name)
	}
	go func() {
		p.cmd.Wait() //nolint:errcheck // ExitCode tells
		close(p.done)
	}()
	return p, nil
}

// PID is the process's ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode is the ended process's exit code, -1 if a signal ended it.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// Signal sends sig, unless the process has ended.
func (p *Process) Signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(sig) //nolint:errcheck // it may just have ended
	}
}

// Kill ends the process at once and waits until it is reaped.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Wait waits for the end of the process or of ctx.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return fail(ctx.Err(), "wait for the end of %s\n%s", p.Name, p.Tail())
	}
}

// Tail returns the end of the log.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	if len(b) > tailBytes {
		b = b[len(b)-tailBytes:]
		_, b, _ = bytes.Cut(b, []byte("\n"))
	}
	return "--- " + p.Log + "\n" + strings.TrimRight(string(b), "\n")
}

// CPU is the processor time the process has used.
func (p *Process) CPU() time.Duration { return cpuOf(p.PID()) }

// stopAll ends the processes with SIGTERM together, then reaps them; those
// that outlast the grace are killed.
func stopAll(ps []*Process) {
	for _, p := range ps {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	grace := time.After(stopGrace)
	for _, p := range ps {
		select {
		case <-p.done:
		case <-grace:
			for _, p := range ps {
				p.Signal(syscall.SIGKILL)
			}
			<-p.done
		}
	}
}
