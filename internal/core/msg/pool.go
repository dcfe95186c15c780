package msg

import "strings"

// Prefixes of pool IDs.
const (
	modelPrefix   = "m/"
	servicePrefix = "s/"
)

// ModelPool returns the ID of a model's pool.
func ModelPool(model string) PoolID { return PoolID(modelPrefix + model) }

// ServicePool returns the ID of a plain service's pool.
func ServicePool(name string) PoolID { return PoolID(servicePrefix + name) }

// IsService reports whether the pool belongs to a plain service.
func (p PoolID) IsService() bool { return strings.HasPrefix(string(p), servicePrefix) }
