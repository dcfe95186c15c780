package msg

import "strings"

// The beginnings of pools' names.
const (
	modelPool   = "m/"
	servicePool = "s/"
)

// ModelPool returns the pool of a model.
func ModelPool(model string) PoolID { return PoolID(modelPool + model) }

// ServicePool returns the pool of a plain service.
func ServicePool(name string) PoolID { return PoolID(servicePool + name) }

// IsService says whether the pool is a plain service's.
func (p PoolID) IsService() bool { return strings.HasPrefix(string(p), servicePool) }
