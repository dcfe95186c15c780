package fair

import (
	"cmp"
	"slices"
)

// Account counts what happened to a customer's requests at one router, in tokens as counted for
// fair shares.
type Account struct {
	Requested    float64
	HostOverload float64 // refused because this router's host is overloaded
	OverShare    float64 // refused because the customer is above its share
	NoCapacity   float64 // refused because no server has capacity
	Placed       float64 // sent to a server
	Started      float64 // a server has started the request
	Reverted     float64 // counted as served, then undone because no server started the request
}

// refused returns the tokens refused for any reason.
func (a Account) refused() float64 { return a.HostOverload + a.OverShare + a.NoCapacity }

// Accounts holds the accounts of one period by customer.
type Accounts map[string]*Account

// For returns the customer's account and creates it if there is none.
func (a Accounts) For(customer string) *Account {
	account := a[customer]
	if account == nil {
		account = &Account{}
		a[customer] = account
	}
	return account
}

// MostRefused returns up to limit customers in descending order of refused tokens. Customers
// without refusals are left out.
func (a Accounts) MostRefused(limit int) []string {
	var names []string
	for name, account := range a {
		if account.refused() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		if c := cmp.Compare(a[y].refused(), a[x].refused()); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
	return names[:min(limit, len(names))]
}
