package peers

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/dial"
)

// Network carries messages between routers.
type Network interface {
	// Send sends a datagram to the router with the control address. The datagram may be lost.
	Send(to string, text []byte) error
	// Fetch gets a path of another router and calls done once with the response.
	Fetch(from, path string, done func([]byte, error))
}

const (
	// dialTimeout bounds the time to open a connection to another router. A router in another data
	// centre takes some milliseconds; one without power never answers.
	dialTimeout = 350 * time.Millisecond
	// fetchTimeout bounds a fetch. A list of 10,000 servers is some 350 KB, which a host with a
	// fifth of a core sends to several routers at a time.
	fetchTimeout = 2500 * time.Millisecond
	maxDatagram  = 60 << 10
	// maxResponseSize is several times the size of a list of 20,000 servers.
	maxResponseSize = 4 << 20
	// maxResponseHead bounds the head of a response; routers send some 100 bytes.
	maxResponseHead = 4 << 10
)

// network sends datagrams over UDP and fetches over HTTP from the routers' control addresses.
type network struct {
	ctx    context.Context // cancels fetches
	port   uint16          // UDP port, the same on all routers
	conn   *net.UDPConn
	http   *http.Client
	memory *bounded.Budget // for responses
}

func newNetwork(conn *net.UDPConn, memory *bounded.Budget) *network {
	return &network{
		ctx:    context.Background(),
		port:   conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
		conn:   conn,
		memory: memory,
		http: &http.Client{
			Timeout: fetchTimeout,
			Transport: &http.Transport{
				DisableKeepAlives:      true,
				DisableCompression:     true,
				DialContext:            dial.Dialer(dialTimeout).DialContext,
				MaxResponseHeaderBytes: maxResponseHead,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Send implements Network.
func (n *network) Send(to string, data []byte) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	// A datagram that cannot be sent counts as lost; the next one carries the state.
	_, _ = n.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(addr.Addr(), n.port))
	return nil
}

// Fetch implements Network.
func (n *network) Fetch(from, path string, done func([]byte, error)) {
	go func() { done(n.get(from, path)) }()
}

// StatusError is a response of a peer with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return "peer answered " + http.StatusText(e.Status) }

// get fetches a path from a peer.
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
	if err := intake.CheckHead(resp.StatusCode, resp.Header); err != nil {
		return nil, err
	}
	reserved := bounded.Reservation{Budget: n.memory}
	defer reserved.Release()
	body, err := readBody(resp, &reserved)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode, Body: body}
	}
	return body, nil
}

// LengthError is a response of a peer without a length, whose end could be that of a process that
// crashes, or with one above maxResponseSize.
type LengthError struct{ Length int64 }

// Error implements error.
func (e *LengthError) Error() string {
	return "length of a peer's answer: " + strconv.FormatInt(e.Length, 10)
}

// readBody reads a response body. The error is a *LengthError unless its length is given and allowed.
func readBody(resp *http.Response, reserved *bounded.Reservation) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxResponseSize {
		return nil, &LengthError{Length: resp.ContentLength}
	}
	return bounded.ReadAll(resp.Body, resp.ContentLength, maxResponseSize, reserved)
}
