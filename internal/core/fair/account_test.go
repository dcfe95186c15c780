package fair

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMostRefusedOrdersCustomersByRefusedTokens(t *testing.T) {
	accounts := Accounts{}
	accounts.For("served").Placed = 100
	accounts.For("little").NoCapacity = 1
	accounts.For("host").HostOverload = 30
	accounts.For("share").OverShare = 20
	accounts.For("share").NoCapacity = 20
	assert.DeepEqual(t, accounts.MostRefused(9), []string{"share", "host", "little"})
	assert.DeepEqual(t, accounts.MostRefused(1), []string{"share"})
}
