package fair

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAccountsNameThoseOfWhomMostWasRefused(t *testing.T) {
	a := Accounts{}
	a.Of("served").Placed = 100
	a.Of("little").NoRoom = 1
	a.Of("host").HostLoad = 30
	a.Of("share").OverShare = 20
	a.Of("share").NoRoom = 20
	assert.DeepEqual(t, a.MostRefused(9), []string{"share", "host", "little"})
	assert.DeepEqual(t, a.MostRefused(1), []string{"share"})
}
