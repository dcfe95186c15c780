package state

import "github.com/windscale/windscale/internal/core/fair"

// CustomerAccount holds the outcomes of a customer's requests at this router, and the customer's
// estimated rates and share across all routers.
type CustomerAccount struct {
	Customer string
	fair.Account
	Rates       fair.Rates // at all routers, tokens a second
	Level       float64    // the max-min share, tokens a second
	ShareStatus fair.ShareStatus
}

// TakeAccounts returns the accounts since the last call of the customers that this router refused
// most, up to limit, and resets all accounts.
func (s *State) TakeAccounts(limit int) []CustomerAccount {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var list []CustomerAccount
	for _, name := range s.accounts.MostRefused(limit) {
		rates, level := s.meter.FleetRates(name, now)
		list = append(list, CustomerAccount{
			Customer:    name,
			Account:     *s.accounts[name],
			Rates:       rates,
			Level:       level,
			ShareStatus: s.meter.ShareStatus(name, now),
		})
	}
	clear(s.accounts)
	return list
}
