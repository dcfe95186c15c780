//go:build !race

package controlplane

import "testing"

// The sizes of today's largest fleet and of twice that. Under the race detector this takes minutes,
// and shows nothing more: a play is one goroutine.
func TestWhatARouterSpendsDoesNotGrowToTwiceTheLargestFleet(t *testing.T) { slopes(t, 1000, 2000) }
