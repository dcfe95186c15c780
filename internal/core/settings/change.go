package settings

import (
	"fmt"
	"maps"
	"slices"
)

// CheckChange reports the customers of prev that next lacks although their
// keys were live. Such a customer is first to be given keys = none, so that
// no caller loses its access by a slip. A nil prev has no customers.
func CheckChange(prev, next *Snapshot) []Fault {
	if prev == nil {
		return nil
	}
	var faults []Fault
	for _, path := range slices.Sorted(maps.Keys(prev.Customers)) {
		n := len(prev.Customers[path].Keys)
		if _, kept := next.Customers[path]; kept || n == 0 {
			continue
		}
		detail := fmt.Sprintf("version %d has %d live keys here; set keys = none first", prev.Version, n)
		faults = append(faults, Fault{treePrefix + string(path), keysKey, FaultRemovedLive, detail})
	}
	return faults
}
