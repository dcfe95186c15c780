package sharing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAddressesSurviveTheGrant(t *testing.T) {
	for _, addr := range []string{"127.0.0.1:80", "10.1.2.3:65535", "[::1]:8080"} {
		got, ok := unpack(pack(addr))
		assert.Assert(t, ok)
		assert.Equal(t, got, addr)
	}
	for _, none := range []string{"", "host:80", "127.0.0.1"} {
		_, ok := unpack(pack(none))
		assert.Assert(t, !ok, none)
	}
}

func TestIncarnationsGrowAndFitFiveBytes(t *testing.T) {
	at := func(year int) uint64 { return uint64(time.Date(year, 6, 1, 0, 0, 0, 0, time.UTC).UnixNano()) }
	assert.Assert(t, incarnation(at(2027)) < incarnation(at(2027)+uint64(time.Second)))
	assert.Assert(t, incarnation(at(2038)) < 1<<32)
	assert.Equal(t, incarnation(1), uint64(1))
}
