package settings

import (
	"fmt"
	"maps"
	"slices"
)

// CheckChange reports the customers that have keys in prev and are missing from
// next. The keys of such a customer must first be withdrawn with keys = none, so
// that no caller loses access by mistake. A nil prev has no customers.
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
		detail := fmt.Sprintf("version %d has %d keys for this customer; set keys = none first", prev.Version, n)
		faults = append(faults, Fault{treePrefix + string(path), keysKey, FaultRemovedLive, detail})
	}
	return faults
}
