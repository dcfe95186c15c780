package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// form is how the value of a key is written: what is wanted, in words, and
// its parser.
type form[V any] struct {
	want  string
	parse func(string) (V, bool)
}

// None, in place of a list, is the empty list.
const None = "none"

const (
	maxNameLen = 64
	maxListLen = 256
)

func duration(lo, hi time.Duration) form[time.Duration] {
	return form[time.Duration]{
		want: fmt.Sprintf("a duration from %s to %s, such as 500ms or 1m30s", lo, hi),
		parse: func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= lo && d <= hi
		},
	}
}

func integer(lo, hi int) form[int] {
	return form[int]{
		want: fmt.Sprintf("a whole number from %d to %d", lo, hi),
		parse: func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= lo && n <= hi
		},
	}
}

func number(lo, hi float64) form[float64] {
	return form[float64]{
		want: fmt.Sprintf("a number from %s to %s", formatNumber(lo), formatNumber(hi)),
		parse: func(s string) (float64, bool) {
			x, err := strconv.ParseFloat(s, 64)
			return x, err == nil && x >= lo && x <= hi
		},
	}
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
}

func size[V int | int64](lo, hi V) form[V] {
	return form[V]{
		want: fmt.Sprintf("a number of bytes from %d to %d, such as 65536, 64KiB or 8MiB", lo, hi),
		parse: func(s string) (V, bool) {
			n, ok := parseSize(s)
			return V(n), ok && n >= int64(lo) && n <= int64(hi)
		},
	}
}

// parseSize reads a whole number of bytes, with or without a unit; false also
// if it does not fit 64 bits.
func parseSize(s string) (int64, bool) {
	unit := int64(1)
	for _, u := range sizeUnits {
		if digits, ok := strings.CutSuffix(s, u.suffix); ok {
			s, unit = strings.TrimSpace(digits), u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/unit {
		return 0, false
	}
	return n * unit, true
}

var boolean = form[bool]{
	want: "true or false",
	parse: func(s string) (bool, bool) {
		return s == "true", s == "true" || s == "false"
	},
}

// list reads items between commas, each once, or None.
func list[V comparable](want string, item func(string) (V, bool)) form[[]V] {
	parse := func(s string) ([]V, bool) {
		if s == None {
			return nil, true
		}
		var out []V
		for part := range strings.SplitSeq(s, ",") {
			v, ok := item(strings.TrimSpace(part))
			if !ok || slices.Contains(out, v) || len(out) == maxListLen {
				return nil, false
			}
			out = append(out, v)
		}
		return out, true
	}
	return form[[]V]{want: want, parse: parse}
}

var names = list("names between commas, each once, * for all, or none",
	func(s string) (string, bool) { return s, s == All || goodItem(s) })

// goodItem accepts the names of models and services.
func goodItem(s string) bool {
	if s == "" || s == None || len(s) > maxNameLen {
		return false
	}
	for i := range len(s) {
		if !isAlnum(s[i]) && !strings.ContainsRune("-_.:", rune(s[i])) {
			return false
		}
	}
	return true
}

// goodName accepts the names of groups and customers. They are lower case, so
// that no two differ by case only.
func goodName(s string) bool {
	if s == "" || len(s) > maxNameLen || s[0] == '-' || s[0] == '_' {
		return false
	}
	for i := range len(s) {
		if !isAlnum(s[i]) && s[i] != '-' && s[i] != '_' || s[i] >= 'A' && s[i] <= 'Z' {
			return false
		}
	}
	return true
}

func isAlnum(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

var statuses = list("HTTP statuses from 400 to 599 between commas, each once, or none",
	integer(400, 599).parse)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

var calls = list("calls between commas, each once, such as POST /bookings or POST /stock/*, or none",
	func(s string) (string, bool) {
		method, path, _ := strings.Cut(s, " ")
		stem, _ := strings.CutSuffix(path, "*")
		ok := slices.Contains(methods, method) &&
			strings.HasPrefix(stem, "/") &&
			!strings.ContainsAny(stem, "* \t?#%")
		return s, ok
	})

var emptyKey KeyHash = sha256.Sum256(nil)

var keyHashes = list("SHA-256 sums of keys in 64 hexadecimal digits between commas, each once, or none",
	func(s string) (KeyHash, bool) {
		var h KeyHash
		if len(s) != hex.EncodedLen(len(h)) {
			return h, false
		}
		_, err := hex.Decode(h[:], []byte(s))
		return h, err == nil && h != emptyKey
	})
