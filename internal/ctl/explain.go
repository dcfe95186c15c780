package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
)

// explainCommand shows what each router says of a customer's waiting
// requests.
type explainCommand struct {
	deferred
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER" description:"such as trasladar/claims-desk"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explainCommand) run(ctx context.Context, a *app) error {
	views, err := each[json.RawMessage](ctx, a, "/v1/explain?customer="+url.QueryEscape(c.Args.Customer))
	if err != nil {
		return err
	}
	return a.show(views, "ROUTER WHAT VALUE", func(add func(...any)) {
		for _, router := range slices.Sorted(maps.Keys(views)) {
			var v any
			_ = json.Unmarshal(views[router], &v) // it was decoded before
			flatten("", v, func(path string, leaf any) { add(router, path, leaf) })
		}
	})
}

// flatten calls add for each value in v that has no parts, with its path.
func flatten(path string, v any, add func(path string, leaf any)) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			flatten(join(path, k), v[k], add)
		}
	case []any:
		for i, x := range v {
			flatten(fmt.Sprintf("%s[%d]", path, i), x, add)
		}
	default:
		add(path, v)
	}
}

func join(path, k string) string {
	if path == "" {
		return k
	}
	return path + "." + k
}
