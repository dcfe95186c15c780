package peers

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/windscale/windscale/internal/dial"
)

// Network carries what routers tell each other.
type Network interface {
	// Send sends a datagram to the router with the control address. It may be lost.
	Send(to string, text []byte) error
	// Fetch gets a path of another router, and calls done once with what that answered.
	Fetch(from, path string, done func([]byte, error))
}

const (
	// dialTimeout bounds the opening of a connection to another router: one in another data centre
	// takes some milliseconds, one that has no power never answers.
	dialTimeout = 350 * time.Millisecond
	// fetchTimeout bounds a fetch: a list of 10,000 servers is some 350 KB, which a host of a fifth
	// of a core gives to several others at a time.
	fetchTimeout = 2500 * time.Millisecond
	maxDatagram  = 60 << 10
	maxView      = 8 << 20
)

// network is that of real routers: datagrams, and HTTP at their control addresses.
type network struct {
	ctx  context.Context // ends fetches
	port uint16          // of datagrams, the same at all routers
	conn *net.UDPConn
	http *http.Client
}

func newNetwork(conn *net.UDPConn) *network {
	return &network{
		ctx:  context.Background(),
		port: conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
		conn: conn,
		http: &http.Client{
			Timeout:   fetchTimeout,
			Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial.Dialer(dialTimeout).DialContext},
		},
	}
}

// Send implements Network.
func (n *network) Send(to string, text []byte) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	// A datagram that can't be sent is one that is lost: the next one tells.
	_, _ = n.conn.WriteToUDPAddrPort(text, netip.AddrPortFrom(addr.Addr(), n.port))
	return nil
}

// Fetch implements Network.
func (n *network) Fetch(from, path string, done func([]byte, error)) {
	go func() { done(n.get(from, path)) }()
}

// StatusError is a peer's refusal.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return "peer answered " + http.StatusText(e.Status) }

// get fetches one thing from a peer.
func (n *network) get(from, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(n.ctx, http.MethodGet, "http://"+from+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := n.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := readAll(resp)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode, Body: text}
	}
	return text, nil
}

// readAll reads an answer into a buffer of its length, if that is told.
func readAll(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxView {
		return io.ReadAll(io.LimitReader(resp.Body, maxView))
	}
	text := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, text)
	return text, err
}
