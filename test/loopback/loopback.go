// Package loopback reserves loopback ports for programs started by tests. A port that is probed and
// released before its program binds it can be assigned to another process in the meantime.
// Reserved ports are outside of the ephemeral range and are not returned again, in this process or
// another, until the reserving process ends. It is test scaffolding; no product code uses it.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// Ports are taken from [lowPort, highPort), below the ephemeral range, from which the system
	// assigns ports to outgoing connections and to listeners on port 0.
	lowPort  = 20000
	highPort = 32000
	// reservationIP is the address of the listeners that mark ports as reserved. It differs from
	// the addresses in use, so that a reserved port can still be bound there.
	reservationIP = "127.255.255.253"
	// IP is the loopback address used by [ReserveAddr] and [Listen].
	IP = "127.0.0.1"
)

// ExhaustedError reports that no port could be reserved on IP.
type ExhaustedError struct{ IP string }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no port from %d to %d is free on %s", lowPort, highPort-1, e.IP)
}

var (
	mu           sync.Mutex
	reservations []net.Listener // guarded by mu; kept open until the process ends
)

// ReservePort returns a port that is free for TCP and UDP on ip. The port stays reserved across
// all processes that use this package until this process ends.
func ReservePort(ip string) (int, error) {
	return reservePortFrom(ip, lowPort+rand.IntN(highPort-lowPort))
}

// reservePortFrom reserves the first available port, starting at first and wrapping at highPort.
func reservePortFrom(ip string, first int) (int, error) {
	for i := range highPort - lowPort {
		port := lowPort + (first-lowPort+i)%(highPort-lowPort)
		reservation, err := net.Listen("tcp4", address(reservationIP, port))
		if err != nil {
			continue // already reserved
		}
		if !free(address(ip, port)) {
			_ = reservation.Close()
			continue
		}
		mu.Lock()
		reservations = append(reservations, reservation)
		mu.Unlock()
		return port, nil
	}
	return 0, &ExhaustedError{IP: ip}
}

// ReserveAddr reserves a port on [IP] and returns its address as IP:port.
func ReserveAddr() (string, error) {
	port, err := ReservePort(IP)
	if err != nil {
		return "", err
	}
	return address(IP, port), nil
}

// Listen listens on a reserved port of [IP]. After closing the listener, the caller can listen at
// the same address again.
func Listen() (net.Listener, error) {
	addr, err := ReserveAddr()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp4", addr)
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// free reports whether addr can be bound for both TCP and UDP.
func free(addr string) bool {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	return u.Close() == nil
}
