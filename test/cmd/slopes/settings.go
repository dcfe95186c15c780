package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/windscale/windscale/internal/core/settings"
)

const customersPerGroup = 25

// settingsText is a tree of n customers in groups, each with a weight, a queue
// and a key of its own; the rest is inherited.
func settingsText(n int) []byte {
	var b strings.Builder
	b.WriteString("[fleet]\nmax_body = 2MiB\n[service dispatch]\nonce = POST /bookings\n")
	b.WriteString("[tree]\nfirst_token = 1100ms\nbetween_tokens = 52ms\nobjective_fraction = 0.95\nmodels = *\nservices = dispatch\n")
	for i := range n {
		group := fmt.Sprintf("tree/branch-%03d", i/customersPerGroup)
		if i%customersPerGroup == 0 {
			fmt.Fprintf(&b, "[%s]\nweight = 2\n", group)
		}
		key := keyHash(i)
		fmt.Fprintf(&b, "[%s/desk-%04d]\nweight = %d\nqueue_len = 100\nkeys = %s\n", group, i, 1+i%5, hex.EncodeToString(key[:]))
	}
	return []byte(b.String())
}

func keyHash(i int) settings.KeyHash {
	return sha256.Sum256([]byte(fmt.Sprint("key ", i)))
}

// FaultsError says that the settings text of the measurement has faults.
type FaultsError struct{ Faults []settings.Fault }

// Error implements error.
func (e *FaultsError) Error() string { return e.Faults[0].Error() }

// measureSettings measures the settings tree.
func measureSettings() ([]Slope, error) {
	if _, faults := settings.Build(1, settingsText(customersPerGroup)); len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	sizes := []int{100, 300, 1000}
	source := measureAt(Slope{Key: "settings-source", What: "the settings' text", Unit: "bytes", Per: "customers"},
		sizes, func(n int) float64 { return float64(len(settingsText(n))) })
	build := measureAt(Slope{Key: "settings-build", What: "parsing, checking and building a version", Unit: "ns", Per: "customers"},
		sizes, func(n int) float64 {
			text := settingsText(n)
			return bestOf(5, 1, func() { settings.Build(1, text) })
		})
	memory := measureAt(Slope{Key: "settings-memory", What: "state of a version in force, its text included", Unit: "bytes", Per: "customers"},
		sizes, func(n int) float64 {
			text := settingsText(n)
			return heapOf(func() any {
				s, _ := settings.Build(1, text)
				return s
			})
		})
	find := measureAt(Slope{Key: "settings-key", What: "finding the customer of a key's digest", Unit: "ns", Per: "customers"},
		sizes, func(n int) float64 {
			s, _ := settings.Build(1, settingsText(n))
			keys := make([]settings.KeyHash, n)
			for i := range keys {
				keys[i] = keyHash(i)
			}
			return bestOf(7, 100*n, func() {
				for range 100 {
					for _, k := range keys {
						s.ByKey(k)
					}
				}
			})
		})
	return []Slope{source, build, memory, find}, nil
}
