package sharing

import (
	"testing"

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
