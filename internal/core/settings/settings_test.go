package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// validSource returns a settings text with two groups and three customers.
func validSource() []byte {
	return fmt.Appendf(nil, `; the fleet
[fleet]
max_body = 2MiB
[service dispatch]
once = POST /bookings, POST /stock/*
refused_status = 429, 503
[tree]
queue_time = 5s
[tree/trasladar]
weight = 3
models = plan-7b
services = dispatch
[tree/trasladar/claims-desk]
weight = 2
keys = %s,%s
[tree/trasladar/drivers]
keys = none
[tree/quetzal]
[tree/quetzal/pantry]
models = *
keys = %s
`, hashOf("k1"), hashOf("k2"), hashOf("k3"))
}

func mustBuild(t *testing.T, version uint64, source string) *Snapshot {
	t.Helper()
	s, faults := Build(version, []byte(source))
	assert.Equal(t, len(faults), 0, "%v", faults)
	return s
}

func TestCustomersInheritValues(t *testing.T) {
	s := mustBuild(t, 7, string(validSource()))
	c, ok := s.ByKey(sha256.Sum256([]byte("k2")))
	assert.Assert(t, ok)
	assert.Equal(t, string(c.Path), "trasladar/claims-desk")
	assert.Equal(t, c.Weight, 2.0)
	assert.Equal(t, c.QueueTime, 5*time.Second)
	assert.Equal(t, c.RequestTime, DefaultCustomer().RequestTime)
	assert.Assert(t, c.AllowsModel("plan-7b") && !c.AllowsModel("claims-13b"))
	assert.Assert(t, c.AllowsService("dispatch"))
	drivers := s.Customers["trasladar/drivers"]
	assert.Equal(t, drivers.Weight, 3.0)
	assert.Equal(t, len(drivers.Keys), 0)
	assert.Assert(t, s.Customers["quetzal/pantry"].AllowsModel("any"))
	assert.Equal(t, s.Fleet.MaxBody, int64(2<<20))
	assert.Equal(t, s.Fleet.QueueRequests, DefaultFleet().QueueRequests)
	assert.DeepEqual(t, s.Services["dispatch"].RefusedStatus, []int{429, 503})
	_, ok = s.ByKey(sha256.Sum256([]byte("k4")))
	assert.Assert(t, !ok)
}

func TestEffectiveReportsSource(t *testing.T) {
	s := mustBuild(t, 1, string(validSource()))
	values, ok := s.Effective("trasladar/drivers")
	assert.Assert(t, ok)
	from := map[string]string{}
	for _, v := range values {
		from[v.Key] = v.From
	}
	assert.Equal(t, from["weight"], "tree/trasladar")
	assert.Equal(t, from["queue_time"], "tree")
	assert.Equal(t, from["keys"], "tree/trasladar/drivers")
	assert.Equal(t, from["burst"], FromDefault)
	_, ok = s.Effective("trasladar/nobody")
	assert.Assert(t, !ok)
}

func TestDefaultsAreValid(t *testing.T) {
	var f Fleet
	for _, k := range fleetKeys {
		assert.Assert(t, k.set(&f, k.Default), k.Name)
	}
	var c Customer
	for _, k := range treeKeys {
		assert.Assert(t, k.set(&c, k.Default), k.Name)
	}
	var s Service
	for _, k := range serviceKeys {
		assert.Assert(t, k.set(&s, k.Default), k.Name)
	}
}

var faultTests = []struct{ name, source string }{
	{"unclosed section", "[tree"},
	{"unclosed quote", "[tree/a]\nkeys = \"\"\"s3cret"},
	{"long multi-line value would take quadratic time", "; `a` in a comment\n[tree/a]\nkeys = `" + strings.Repeat("\n", MaxSource/2)},
	{"keys outside a section", "weight = 1"},
	{"unknown section and key", "[flete]\n[fleet]\nmax_bodi = 1MiB\n[service a]\nwise = 1"},
	{"line without a delimiter", "[fleet]\nmax_body\nmax_header = 64KiB"},
	{"bad values", "[fleet]\nmax_body = -1\nmax_header = 9999GiB\nidle_timeout = soon\n" +
		"[service a]\nonce = POST bookings\nchecks_fence = yes\nrefused_status = 200\n" +
		"[tree]\nweight = NaN\nconcurrency = 1.5\nmodels = a,,b\nburst =\nretry_percent = 101\nfirst_token = 5"},
	{"key in place of its hash is not shown", "[tree]\n[tree/a]\nkeys = s3cret"},
	{"hash of the empty key", "[tree/a]\nkeys = " + hashOf("")},
	{"duplicates", "[fleet]\n[fleet]\n[tree]\nweight = 1\nweight = 1\n[tree/a]\nkeys = none\n[tree/a]\nkeys = none\n[service a]\n[service a]"},
	{"same key for two customers", "[tree/a]\nkeys = " + hashOf("k") + "\n[tree/b]\nkeys = " + hashOf("k")},
	{"same key twice for one customer", "[tree/a]\nkeys = " + hashOf("k") + "," + hashOf("k")},
	{"too many keys", "[tree/a]\nkeys = " + manyHashes(MaxCustomerKeys+1)},
	{"customer below a customer", "[tree]\n[tree/a]\nkeys = none\n[tree/a/b]\nkeys = none"},
	{"keys at the root", "[tree]\nkeys = none"},
	{"undefined parent", "[tree/a/b]\nkeys = none"},
	{"group without customers", "[tree/a]\nweight = 2"},
	{"bad names", "[tree/Quetzal]\nkeys = none\n[tree/]\nkeys = none\n[tree/a b]\nkeys = none\n[service a b]"},
	{"undefined service", "[tree/a]\nservices = booking\nkeys = none"},
	{"too deep", nestedCustomer(MaxDepth + 1)},
	{"name too long", "[tree" + strings.Repeat("/", MaxSectionName) + "]"},
	{"too large", strings.Repeat("#", MaxSource+1)},
}

func manyHashes(n int) string {
	var all []string
	for i := range n {
		all = append(all, hashOf(fmt.Sprint(i)))
	}
	return strings.Join(all, ",")
}

func nestedCustomer(n int) string {
	var b strings.Builder
	name := rootSection
	for range n {
		name += "/d"
		fmt.Fprintf(&b, "[%s]\n", name)
	}
	return b.String() + "keys = none\n"
}

// TestFaults checks that Build reports all faults of a text together, each with its
// section and key.
func TestFaults(t *testing.T) {
	var b strings.Builder
	for _, tt := range faultTests {
		s, faults := Build(1, []byte(tt.source))
		assert.Assert(t, s == nil, tt.name)
		fmt.Fprintf(&b, "# %s\n", tt.name)
		for _, f := range faults {
			fmt.Fprintln(&b, f.Error())
		}
	}
	golden.Assert(t, b.String(), "faults.golden")
}

func TestRemovingCustomerWithKeysIsFault(t *testing.T) {
	prev := mustBuild(t, 1, "[tree/a]\nkeys = "+hashOf("k")+"\n[tree/b]\nkeys = none")
	next := mustBuild(t, 2, "[tree]")
	faults := CheckChange(prev, next)
	assert.Equal(t, len(faults), 1)
	assert.Equal(t, faults[0].Kind, FaultRemovedLive)
	assert.Equal(t, faults[0].Section, "tree/a")
	withdrawn := mustBuild(t, 2, "[tree/a]\nkeys = none")
	assert.Equal(t, len(CheckChange(prev, withdrawn)), 0)
	assert.Equal(t, len(CheckChange(withdrawn, next)), 0)
	assert.Equal(t, len(CheckChange(nil, next)), 0)
}

func TestDiff(t *testing.T) {
	a := mustBuild(t, 1, "[fleet]\n[tree]\nweight = 1\nburst = 3\n[tree/a]\nkeys = none")
	b := mustBuild(t, 2, "[tree/b]\nkeys = none\n; moved\n[tree]\nburst = 4\nrate = 1")
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	assert.DeepEqual(t, got, []string{
		"- [fleet]",
		"- [tree] weight = 1",
		"~ [tree] burst = 4 (was 3)",
		"+ [tree] rate = 1",
		"- [tree/a]",
		"+ [tree/b]",
		"+ [tree/b] keys = none",
	})
	assert.Equal(t, len(Diff(a, a)), 0)
}

func offer(version uint64, source string) Offer {
	return Offer{version, sha256.Sum256([]byte(source)), []byte(source)}
}

func TestHolderNeverAppliesOlderVersion(t *testing.T) {
	var h Holder
	offers := []struct {
		offer Offer
		want  Verdict
	}{
		{offer(0, "[tree]"), Older},
		{offer(2, "[tree]"), Applied},
		{offer(2, "[tree]"), AlreadyApplied},
		{offer(2, "[fleet]"), VersionConflict},
		{offer(1, "[tree]"), Older},
		{Offer{Version: 3, Source: []byte("[tree]")}, DigestMismatch},
		{offer(3, "[nonsense]"), Invalid},
		{offer(4, "[fleet]"), Applied},
		{offer(3, "[tree]"), Older},
	}
	for i, s := range offers {
		got, _ := h.Offer(s.offer)
		assert.Equal(t, got, s.want, "step %d", i)
	}
	assert.Equal(t, h.Version(), uint64(4))
}

// FuzzBuild checks that no text causes a panic, that building the source of an
// accepted text again gives the same settings, and that accepted settings satisfy
// the rules of the tree.
func FuzzBuild(f *testing.F) {
	f.Add(validSource())
	for _, tt := range faultTests {
		f.Add([]byte(tt.source))
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		a, faults := Build(1, source)
		assert.Equal(t, a == nil, len(faults) > 0)
		if a == nil {
			return
		}
		b := mustBuild(t, 2, string(a.Source))
		assert.Equal(t, a.Digest, b.Digest)
		assert.Equal(t, len(Diff(a, b)), 0)
		for path, c := range a.Customers {
			assert.Assert(t, c.Weight > 0)
			_, ok := a.Effective(string(path))
			assert.Assert(t, ok)
			for _, h := range c.Keys {
				owner, _ := a.ByKey(h)
				assert.Equal(t, owner.Path, path)
			}
		}
	})
}
