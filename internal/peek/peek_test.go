package peek

import (
	"net"
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
