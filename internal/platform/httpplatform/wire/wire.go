// Package wire names the HTTP form of the platform's services, as its adapter
// and its stand-in speak it:
//
//	GET    /table/rows/KEY          one row: body is the value, ETag its version; 404 if absent
//	PUT    /table/rows/KEY          If-Match: "VERSION" or If-None-Match: *
//	DELETE /table/rows/KEY          If-Match: "VERSION"
//	POST   /table/read              ReadRequest -> ReadResponse, as of one moment
//	POST   /table/transactions      Transaction; all conditions hold or nothing is done
//	GET    /objects/KEY             the object's body; 404 if absent
//	PUT    /objects/KEY             If-None-Match: *
//	GET    /hosts                   JSON array of platform.Host, ETag; honours If-None-Match
//
// Keys are path-escaped into one path segment. 412 says that a condition
// failed, 429 and 503 that the call was not taken; any other failure of a
// write leaves open whether it took effect.
package wire

import (
	"net/url"
	"strconv"
	"strings"
)

// The paths of the services.
const (
	Rows         = "/table/rows/"
	Read         = "/table/read"
	Transactions = "/table/transactions"
	Objects      = "/objects/"
	Hosts        = "/hosts"
)

// MaxBody bounds the body of any request or answer, in bytes.
const MaxBody = 16 << 20

// ReadRequest asks for several rows as of one moment.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// Row is one row; an absent row has version 0.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// ReadResponse holds the rows in the order they were asked for.
type ReadResponse struct {
	Rows []Row `json:"rows"`
}

// Write is one conditional write of a Transaction.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion uint64 `json:"ifVersion"`
	Delete    bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that apply together or not at all.
type Transaction struct {
	Writes []Write `json:"writes"`
}

// ETag returns the entity tag of a version.
func ETag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

// ParseETag returns the version of an entity tag, and whether it is one.
func ParseETag(tag string) (uint64, bool) {
	inner, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return 0, false
	}
	inner, ok = strings.CutSuffix(inner, `"`)
	if !ok {
		return 0, false
	}
	version, err := strconv.ParseUint(inner, 10, 64)
	return version, err == nil
}

// Path returns the path of a key under one of the paths that end in a slash.
func Path(prefix, key string) string { return prefix + url.PathEscape(key) }

// Key returns the key in an escaped path, and whether there is one.
func Key(prefix, escapedPath string) (string, bool) {
	segment, ok := strings.CutPrefix(escapedPath, prefix)
	if !ok || segment == "" {
		return "", false
	}
	key, err := url.PathUnescape(segment)
	return key, err == nil
}
