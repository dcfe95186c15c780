package routing

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Content stands for what a request asks: two requests with the same customer,
// method, host, target and body have the same content, whatever their attempts' IDs.
// It is a hash; among a million contents two are the same by chance once in 40 million
// fleets.
type Content uint64

// contentBase is that of its text form.
const contentBase = 16

// String returns the content as it stands in logs.
func (c Content) String() string { return strconv.FormatUint(uint64(c), contentBase) }

// ContentOf returns the content of a request.
func ContentOf(customer, method, host, target string, body []byte) Content {
	h := xxhash.New()
	for _, text := range []string{customer, method, host, target} {
		// The length keeps what ends one text apart from what begins the next.
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = h.Write(size[:]) // a hash takes all that is written
		_, _ = h.WriteString(text)
	}
	_, _ = h.Write(body)
	return Content(h.Sum64())
}
