// Package platform names what windscale asks of the platform it runs on: a
// transactional table, an object store and a lagging host list. Everything
// outside the adapters in its subpackages uses only these interfaces, so that
// another wire form is one new adapter.
//
// All methods may be called from any goroutine and honour the context's
// deadline. Errors are *Error; use [KindOf] to tell them apart.
package platform

import "context"

// Row is one row of the table. An absent row has Version 0 and a nil Value.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write is one conditional write of a transaction. It applies only if the
// row's version is IfVersion at commit; 0 demands that the row is absent.
type Write struct {
	Key       string
	Value     []byte
	IfVersion uint64
	Delete    bool
}

// Table is the transactional table.
type Table interface {
	// Read returns one row for each key, in order, as of one moment.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies all writes or none. A failed condition is KindConflict.
	// KindUnknown says that the transaction may or may not have taken effect;
	// the caller settles that by reading.
	Commit(ctx context.Context, writes ...Write) error
}

// Objects is the object store. Objects never change once put.
type Objects interface {
	// PutIfAbsent stores body under key. KindConflict says the key is taken.
	PutIfAbsent(ctx context.Context, key string, body []byte) error
	// Get returns the object, or KindAbsent.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Role says what runs on a host.
type Role string

// The roles a host has in the host list.
const (
	RoleRouter Role = "router"
	RoleServer Role = "server"
)

// HostState says whether a host may be given new work.
type HostState string

// The states a host has in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list. What a backend server holds is not in
// it: the server itself is asked.
type Host struct {
	ID         string    `json:"id"`
	Role       Role      `json:"role"`
	Addr       string    `json:"addr"`            // IP:port; routers: their link address (UDP)
	Admin      string    `json:"admin,omitempty"` // routers only: admin listener, IP:port
	DataCentre string    `json:"dataCentre"`
	State      HostState `json:"state"`
}

// HostList is the platform's list of hosts, which lags.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
