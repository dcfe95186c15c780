package intake

import "bytes"

const (
	// MaxHead bounds the heads of one response in bytes, informational (1xx) ones included. Proxies in
	// common use allow 4 to 60 KiB.
	MaxHead = 64 << 10
	// MaxHeaderLines bounds the header lines of a head. Each takes some 200 bytes of memory besides its
	// text. Proxies in common use allow 100.
	MaxHeaderLines = 128
	// MaxInformational bounds the informational responses before a response.
	MaxInformational = 16
)

// protocol is what every response begins with.
const protocol = "HTTP/"

// NotHTTPError means that the first bytes of a response are not those of one.
type NotHTTPError struct{}

// Error implements error.
func (*NotHTTPError) Error() string { return "no HTTP response" }

// HeadScanner finds the end of a response's head (RFC 9112, section 2.1) in the bytes that have arrived
// so far. It examines each byte once, and is used for one response with the informational ones before it.
type HeadScanner struct {
	heads    int // complete ones
	consumed int // bytes of these
	scanned  int // bytes of the current head that were examined
	line     int // where its current line begins
	lines    int // complete ones of it
}

// Scan returns the length of the head that begins with the first byte of b, or 0 if more bytes are
// needed. The next call after a complete head expects the bytes that follow it. The error is a
// *NotHTTPError or a *LimitError.
func (s *HeadScanner) Scan(b []byte) (length int, err error) {
	if n := min(len(b), len(protocol)); string(b[:n]) != protocol[:n] {
		return 0, &NotHTTPError{}
	}
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			break
		}
		line := b[s.line : s.scanned+i]
		s.scanned += i + 1
		s.line = s.scanned
		if s.consumed+s.scanned > MaxHead {
			break
		}
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return s.completeHead()
		}
		if s.lines++; s.lines > 1+MaxHeaderLines {
			return 0, &LimitError{Bound: BoundHeaderLines, Limit: MaxHeaderLines}
		}
	}
	if s.consumed+s.scanned >= MaxHead {
		return 0, &LimitError{Bound: BoundHead, Limit: MaxHead}
	}
	return 0, nil
}

// completeHead prepares the scanner for the next head and returns the length of this one.
func (s *HeadScanner) completeHead() (length int, _ error) {
	length = s.scanned
	if s.heads > MaxInformational {
		return 0, &LimitError{Bound: BoundInformational, Limit: MaxInformational}
	}
	*s = HeadScanner{heads: s.heads + 1, consumed: s.consumed + length}
	return length, nil
}
