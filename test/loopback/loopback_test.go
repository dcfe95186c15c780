package loopback

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a port being reserved twice, or assigned to a listener on port 0, before its
// program binds it.
func TestPortIsReservedOnce(t *testing.T) {
	first, err := ReservePort(IP)
	assert.NilError(t, err)
	second, err := reservePortFrom(IP, first)
	assert.NilError(t, err)
	assert.Assert(t, first != second)
	onOtherIP, err := reservePortFrom("127.0.0.2", first)
	assert.NilError(t, err)
	assert.Assert(t, onOtherIP != first)

	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	assert.NilError(t, err)
	lowest, err := strconv.Atoi(strings.Fields(string(text))[0])
	assert.NilError(t, err)
	assert.Assert(t, highPort <= lowest, "ephemeral range starts at %d", lowest)
}

// Guards against reserving a port that is already in use for TCP or UDP.
func TestPortInUseIsSkipped(t *testing.T) {
	first, err := ReservePort(IP)
	assert.NilError(t, err)
	ln, err := net.Listen("tcp4", address(IP, first+1))
	if err == nil {
		defer func() { _ = ln.Close() }()
	}
	conn, err := net.ListenPacket("udp4", address(IP, first+2))
	if err == nil {
		defer func() { _ = conn.Close() }()
	}
	next, err := reservePortFrom(IP, first)
	assert.NilError(t, err)
	assert.Assert(t, next != first && next != first+1 && next != first+2, "%d, %d", first, next)
}

func TestListenAddressCanBeReused(t *testing.T) {
	ln, err := Listen()
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	ln, err = net.Listen("tcp4", addr)
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
}
