// Package msg defines the identifiers that the decision core and the shell
// share. Messages between routers are defined in the packages that exchange
// them.
package msg

// RouterID is a router's host ID in the host list.
type RouterID string

// ServerID is a backend server's host ID in the host list.
type ServerID string

// PoolID identifies a group of interchangeable slots that customers share:
// those of a model ("m/NAME") or of a plain service ("s/NAME").
type PoolID string

// CustomerID is a customer's path in the settings tree.
type CustomerID string

// RequestID identifies a request at its entry router. It is unique across
// restarts of the router.
type RequestID string

// GrantID identifies a grant of a slot by the admitting router's incarnation
// and a sequence number.
type GrantID struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint"`
}

// Cost is an amount of service: weighted tokens for models, microseconds of
// busy time for plain services.
type Cost int64
