package fair

import (
	"cmp"
	"slices"
)

// Account is what became of a customer's requests at one router, in tokens by the count
// in which shares are owed.
type Account struct {
	Asked     float64
	HostLoad  float64 // refused for this router's own load
	OverShare float64 // refused since the customer has more than its share
	NoRoom    float64 // refused since no server has room
	Placed    float64 // sent to a server
	Begun     float64 // a server has begun it
	TakenBack float64 // counted as served at first, and not any more
}

// refused is what the router refused, for whatever reason.
func (a Account) refused() float64 { return a.HostLoad + a.OverShare + a.NoRoom }

// Accounts are the accounts of one span of time, by customer.
type Accounts map[string]*Account

// Of returns the customer's account.
func (a Accounts) Of(customer string) *Account {
	account := a[customer]
	if account == nil {
		account = &Account{}
		a[customer] = account
	}
	return account
}

// MostRefused returns the customers of which most was refused, at most so many, and none
// of which nothing was.
func (a Accounts) MostRefused(most int) []string {
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
	return names[:min(most, len(names))]
}
