package routing

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ContentHash identifies the content of a request: requests with the same customer, method, host,
// target and body have the same hash, whatever their attempt IDs. Among a million contents, two
// collide by chance in one fleet out of 40 million.
type ContentHash uint64

// contentBase is the number base of the text form.
const contentBase = 16

// String returns the hash as it appears in logs.
func (c ContentHash) String() string { return strconv.FormatUint(uint64(c), contentBase) }

// HashContent returns the content hash of a request.
func HashContent(customer, method, host, target string, body []byte) ContentHash {
	h := xxhash.New()
	for _, text := range []string{customer, method, host, target} {
		// The length prefix separates the end of one text from the beginning of the next.
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = h.Write(size[:]) // writing to a hash never fails
		_, _ = h.WriteString(text)
	}
	_, _ = h.Write(body)
	return ContentHash(h.Sum64())
}
