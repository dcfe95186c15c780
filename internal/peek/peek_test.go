package peek

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (here, there net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	there, err = net.Dial("tcp4", ln.Addr().String())
	assert.NilError(t, err)
	here, err = ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = here.Close(); _ = there.Close() })
	return here, there
}

// until waits for what arrives.
func until(t *testing.T, c net.Conn, want Found) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := At(c.(syscall.Conn)); got != want {
			return poll.Continue("%d", got)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

func TestWhatHasArrivedIsSeen(t *testing.T) {
	here, there := pair(t)
	assert.Equal(t, At(here.(syscall.Conn)), Nothing)
	_, err := there.Write([]byte("x"))
	assert.NilError(t, err)
	until(t, here, Bytes)
	var one [1]byte
	_, err = here.Read(one[:])
	assert.NilError(t, err, "it was not taken")
	assert.NilError(t, there.Close())
	until(t, here, Ended)
	assert.NilError(t, here.Close())
	assert.Equal(t, At(here.(syscall.Conn)), Ended)
}

// A look does not wait for a goroutine that reads.
func TestALookDoesNotWaitForAReader(t *testing.T) {
	here, there := pair(t)
	read := make(chan struct{})
	go func() {
		var one [1]byte
		_, _ = here.Read(one[:])
		close(read)
	}()
	until(t, here, Nothing)
	assert.NilError(t, there.Close())
	<-read
	until(t, here, Ended)
}
