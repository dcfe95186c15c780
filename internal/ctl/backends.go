package ctl

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/core/msg"
)

// backendListCommand lists the backend servers, each as the router that
// admits to it sees it, or any router if that one does not answer.
type backendListCommand struct {
	deferred
}

func (c *backendListCommand) run(ctx context.Context, a *app) error {
	views, err := each[[]admin.Backend](ctx, a, "/v1/backends")
	if err != nil {
		return err
	}
	all := mergeBackends(views)
	return a.show(all, "SERVER DC STATE POOLS SLOTS LIMIT RUNNING ADMITTED-BY ADDRESS", func(add func(...any)) {
		for _, b := range all {
			add(b.ID, b.DataCentre, b.State, joinPools(b.Pools), b.Slots, b.Limit, b.Running, b.AdmittedBy, b.Addr)
		}
	})
}

func mergeBackends(views map[string][]admin.Backend) []admin.Backend {
	best := map[msg.ServerID]admin.Backend{}
	for _, router := range slices.Sorted(maps.Keys(views)) {
		for _, b := range views[router] {
			_, seen := best[b.ID]
			if !seen || string(b.AdmittedBy) == router {
				best[b.ID] = b
			}
		}
	}
	out := slices.Collect(maps.Values(best))
	slices.SortFunc(out, func(x, y admin.Backend) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

func joinPools(pools []msg.PoolID) string {
	var names []string
	for _, p := range pools {
		names = append(names, string(p))
	}
	return strings.Join(names, ",")
}
