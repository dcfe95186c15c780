package state

import "github.com/windscale/windscale/internal/core/fair"

// CustomerAccount is what became of a customer's requests at this router, beside what is
// believed of the customer at all routers.
type CustomerAccount struct {
	Customer string
	fair.Account
	Rates    fair.Rates // at all routers, tokens a second
	Level    float64    // the max-min share, tokens a second
	Standing fair.ShareStatus
}

// TakeAccounts returns the accounts, since it was called last, of the customers of which
// this router refused most, at most so many.
func (s *State) TakeAccounts(most int) []CustomerAccount {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var list []CustomerAccount
	for _, name := range s.accounts.MostRefused(most) {
		rates, level := s.meter.FleetRates(name, now)
		list = append(list, CustomerAccount{
			Customer: name,
			Account:  *s.accounts[name],
			Rates:    rates,
			Level:    level,
			Standing: s.meter.ShareStatus(name, now),
		})
	}
	clear(s.accounts)
	return list
}
