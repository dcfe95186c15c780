// Package msg holds the identifiers that the decision core and the shell
// share. The messages between routers are in the packages that exchange them.
package msg

// RouterID is a router's host ID in the host list.
type RouterID string

// ServerID is a backend server's host ID in the host list.
type ServerID string

// PoolID names what is shared: a model ("m/NAME") or a plain service
// ("s/NAME").
type PoolID string

// CustomerID is a customer's path in the settings tree.
type CustomerID string

// RequestID names one request at its entry router, unique over router
// incarnations.
type RequestID string

// GrantID names one grant of a slot: the admitting router's incarnation and a
// sequence number.
type GrantID struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint"`
}

// Cost is an amount of service: weighted tokens at models, microseconds of
// busy time at plain services.
type Cost int64
