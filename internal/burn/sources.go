package burn

import (
	"context"

	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/platform"
)

// Listed finds the routers in the platform's host list. Their admin listeners
// are asked with the given scheme, such as "http".
func Listed(hosts platform.HostList, scheme string) Targets {
	return func(ctx context.Context) ([]Target, error) {
		list, err := hosts.Hosts(ctx)
		if err != nil {
			return nil, errors.Trace(err)
		}
		var out []Target
		for _, h := range list {
			if h.Role == platform.RoleRouter {
				out = append(out, Target{ID: msg.RouterID(h.ID), URL: scheme + "://" + h.Admin})
			}
		}
		return out, nil
	}
}

// Promises returns what s promises each customer.
func Promises(s *settings.Snapshot) map[msg.CustomerID]burn.SLO {
	out := make(map[msg.CustomerID]burn.SLO, len(s.Customers))
	for id, c := range s.Customers {
		out[id] = burn.SLO{
			FirstToken:    c.Objective.FirstToken > 0,
			BetweenTokens: c.Objective.BetweenTokens > 0,
			Fraction:      c.Objective.Fraction,
		}
	}
	return out
}
