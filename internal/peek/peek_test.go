package peek

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	remote, err = net.Dial("tcp4", ln.Addr().String())
	assert.NilError(t, err)
	local, err = ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = local.Close(); _ = remote.Close() })
	return local, remote
}

// waitForState waits until the connection is in the state.
func waitForState(t *testing.T, c net.Conn, want State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := Check(c.(syscall.Conn)); got != want {
			return poll.Continue("%d", got)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

func TestCheckReportsStateWithoutReading(t *testing.T) {
	here, there := connPair(t)
	assert.Equal(t, Check(here.(syscall.Conn)), Open)
	_, err := there.Write([]byte("x"))
	assert.NilError(t, err)
	waitForState(t, here, Readable)
	var one [1]byte
	_, err = here.Read(one[:])
	assert.NilError(t, err, "Check must not consume the byte")
	assert.NilError(t, there.Close())
	waitForState(t, here, Closed)
	assert.NilError(t, here.Close())
	assert.Equal(t, Check(here.(syscall.Conn)), Closed)
}

// Check does not wait for a goroutine that is blocked reading from the connection.
func TestCheckDoesNotWaitForBlockedReader(t *testing.T) {
	here, there := connPair(t)
	read := make(chan struct{})
	go func() {
		var one [1]byte
		_, _ = here.Read(one[:])
		close(read)
	}()
	waitForState(t, here, Open)
	assert.NilError(t, there.Close())
	<-read
	waitForState(t, here, Closed)
}

// What the other side does not take is undelivered, and a reset is reported once.
func TestUndelivered(t *testing.T) {
	here, there := connPair(t)
	n, err := Undelivered(here.(syscall.Conn))
	assert.NilError(t, err)
	assert.Equal(t, n, 0)
	assert.NilError(t, here.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = here.Write(make([]byte, 64<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n, err = Undelivered(here.(syscall.Conn))
	assert.NilError(t, err)
	assert.Assert(t, n > 0)
	assert.NilError(t, there.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, there.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err = Undelivered(here.(syscall.Conn)); err == nil {
			return poll.Continue("no error")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = Undelivered(here.(syscall.Conn))
	assert.NilError(t, err)
}

// CheckError takes the error of a connection that was reset, and returns it.
func TestCheckErrorReturnsTheReset(t *testing.T) {
	here, there := connPair(t)
	assert.NilError(t, there.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, there.Close())
	var broken error
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var state State
		if state, broken = CheckError(here.(syscall.Conn)); state != Closed {
			return poll.Continue("%d", state)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.ErrorIs(t, broken, syscall.ECONNRESET)
	state, err := CheckError(here.(syscall.Conn))
	assert.Equal(t, state, Closed)
	assert.NilError(t, err)
}
