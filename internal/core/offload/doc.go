// Package offload decides how connections of an overloaded host are relayed: which hosts get them, and
// how many a host accepts.
package offload
