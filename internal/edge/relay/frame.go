// Package relay hands callers' connections of an overloaded host to other hosts of its data centre.
// The overloaded host opens a tunnel, one TCP connection, to each of several hosts and copies the
// bytes of callers' connections to and from it without parsing them. The other host serves them as
// if the callers had connected to it.
//
// A tunnel begins with an HTTP/1.1 upgrade at the control address and then carries frames. The
// overloaded host (the sender) opens streams, one for each connection. The other host (the receiver)
// limits their number by credits, which also show the sender that it is alive.
package relay

import (
	"encoding/binary"
	"fmt"
)

// Path and Protocol identify the upgrade request that opens a tunnel. Its HeaderSender names the
// sender by its control address.
const (
	Path         = "/fleet/relay"
	Protocol     = "windscale-relay/1"
	HeaderSender = "Relay-Sender"
)

// FrameType is the type of a frame.
type FrameType uint8

// Types of frames. S frames are sent by the sender of connections, R frames by their receiver.
const (
	FrameOpen   FrameType = iota + 1 // S: a connection begins; the payload is its first bytes
	FrameData                        // S, R: bytes of a connection
	FrameClose                       // S: the caller closed its connection; R: close the connection after the data
	FrameReset                       // S, R: the connection broke, or must be reset so that the answer looks incomplete
	FrameWindow                      // S: the caller has been sent so many more bytes (payload: uint32)
	FrameCredit                      // R: total number of streams that the sender may have opened (payload: uint32); may fall
	FrameGoAway                      // R: the host is stopping and accepts no more streams; open ones continue
)

const (
	// HeaderSize is the size of a frame's header: the type, a zero byte, the length of the payload
	// (uint16) and the number of the stream (uint32, 0 for frames of the tunnel itself), big-endian.
	HeaderSize = 8
	// countSize is the length of the payloads of FrameWindow and FrameCredit.
	countSize = 4
	// MaxPayload is the maximum length of a payload.
	MaxPayload = 32 << 10
	// StreamWindow is how many bytes of answers the receiver may send on a stream beyond those that
	// the sender has confirmed by FrameWindow.
	StreamWindow = 64 << 10
)

// Header is the header of a frame.
type Header struct {
	Type   FrameType
	Length int
	Stream uint32
}

// AppendFrame appends a frame to b. The payload must not exceed MaxPayload.
func AppendFrame(b []byte, t FrameType, stream uint32, payload []byte) []byte {
	b = append(b, byte(t), 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(payload)))
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// ParseHeader parses the header at the start of b, which must have HeaderSize bytes.
func ParseHeader(b []byte) (Header, error) {
	h := Header{Type: FrameType(b[0]), Length: int(binary.BigEndian.Uint16(b[2:])), Stream: binary.BigEndian.Uint32(b[4:])}
	if h.Type < FrameOpen || h.Type > FrameGoAway || b[1] != 0 || h.Length > MaxPayload {
		return Header{}, &FrameError{Type: h.Type, Length: h.Length}
	}
	return h, nil
}

// FrameError means that a frame is malformed. The tunnel can't be used any more.
type FrameError struct {
	Type   FrameType
	Length int
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("malformed relay frame: type %d, length %d", e.Type, e.Length)
}
