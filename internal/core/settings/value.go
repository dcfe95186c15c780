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

// valueFormat is the format of a key's value: a description for documentation and
// faults, and its parser.
type valueFormat[V any] struct {
	want  string
	parse func(string) (V, bool)
}

// EmptyList is the value that denotes an empty list.
const EmptyList = "none"

const (
	maxNameLen = 64
	maxListLen = 256
)

func duration(lo, hi time.Duration) valueFormat[time.Duration] {
	return valueFormat[time.Duration]{
		want: fmt.Sprintf("a duration from %s to %s, such as 500ms or 1m30s", lo, hi),
		parse: func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= lo && d <= hi
		},
	}
}

func integer(lo, hi int) valueFormat[int] {
	return valueFormat[int]{
		want: fmt.Sprintf("a whole number from %d to %d", lo, hi),
		parse: func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= lo && n <= hi
		},
	}
}

func number(lo, hi float64) valueFormat[float64] {
	return valueFormat[float64]{
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

func size[V int | int64](lo, hi V) valueFormat[V] {
	return valueFormat[V]{
		want: fmt.Sprintf("a number of bytes from %d to %d, such as 65536, 64KiB or 8MiB", lo, hi),
		parse: func(s string) (V, bool) {
			n, ok := parseSize(s)
			return V(n), ok && n >= int64(lo) && n <= int64(hi)
		},
	}
}

// parseSize parses a whole number of bytes with an optional unit. It returns false
// if the text is malformed or the number does not fit into 64 bits.
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

var boolean = valueFormat[bool]{
	want: "true or false",
	parse: func(s string) (bool, bool) {
		return s == "true", s == "true" || s == "false"
	},
}

// list returns the format of a comma-separated list without duplicates, or
// EmptyList.
func list[V comparable](want string, item func(string) (V, bool)) valueFormat[[]V] {
	parse := func(s string) ([]V, bool) {
		if s == EmptyList {
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
	return valueFormat[[]V]{want: want, parse: parse}
}

var names = list("names between commas, each once, * for all, or none",
	func(s string) (string, bool) { return s, s == Wildcard || validItemName(s) })

// validItemName reports whether s is a valid name of a model or service.
func validItemName(s string) bool {
	if s == "" || s == EmptyList || len(s) > maxNameLen {
		return false
	}
	for i := range len(s) {
		if !isAlnum(s[i]) && !strings.ContainsRune("-_.:", rune(s[i])) {
			return false
		}
	}
	return true
}

// validPathName reports whether s is a valid name of a group or customer. Names are
// lower case, so that no two differ only in case.
func validPathName(s string) bool {
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

var callList = list("calls between commas, each once, such as POST /bookings or POST /stock/*, or none",
	func(s string) (string, bool) {
		method, path, _ := strings.Cut(s, " ")
		prefix, _ := strings.CutSuffix(path, "*")
		ok := slices.Contains(methods, method) &&
			strings.HasPrefix(prefix, "/") &&
			!strings.ContainsAny(prefix, "* \t?#%")
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
