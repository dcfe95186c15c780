package intake_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/intake"
)

// A head is found whole however its bytes arrive, and each is examined once.
func TestHeadIsFoundInAnySegments(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.0 200\nA: b\n c\n \n\n", "HTTP/1.1 204 No Content\r\n\r\n"} {
		sent := head + "body\r\n\r\n"
		for step := 1; step <= len(sent); step++ {
			var s intake.HeadScanner
			length := 0
			for end := step; length == 0; end = min(end+step, len(sent)) {
				var err error
				length, err = s.Scan([]byte(sent[:end]))
				assert.NilError(t, err)
			}
			assert.Equal(t, sent[:length], head)
		}
	}
}

func TestFirstBytesTellWhatIsNoResponse(t *testing.T) {
	for text, ok := range map[string]bool{"": true, "H": true, "HTTP/": true, "HTTP/1.1 2": true, "h": false, "HTTX": false, "\r\nHTTP/1.1": false, "{": false, " HTTP/": false} {
		var s intake.HeadScanner
		_, err := s.Scan([]byte(text))
		var notHTTP *intake.NotHTTPError
		assert.Equal(t, !errors.As(err, &notHTTP), ok, "%q: %v", text, err)
	}
}

// The heads of informational responses count towards the bound of the response's head.
func TestHeadsOfOneResponseShareTheirBound(t *testing.T) {
	var s intake.HeadScanner
	hint := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("a", intake.MaxHead/2) + "\r\n\r\n"
	n, err := s.Scan([]byte(hint))
	assert.NilError(t, err)
	assert.Equal(t, n, len(hint))
	_, err = s.Scan([]byte(hint))
	var limit *intake.LimitError
	assert.Assert(t, errors.As(err, &limit))
	assert.Equal(t, limit.Bound, intake.BoundHead)
}

// Bytes that trickle count, silence counts little.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		reads int
		ok    bool
	}{
		{0, 10_000, true},
		{time.Millisecond, 5000, true},
		{time.Millisecond, 5010, false},
		{100 * time.Millisecond, 49, true},
		{100 * time.Millisecond, 60, false},
		{time.Minute, 9, true}, // a host that is suspended, or a server
		{time.Minute, 20, false},
		{-time.Second, 1000, true}, // a clock that goes back
	} {
		var p intake.Pace
		now := time.Unix(0, 0)
		var err error
		for range c.reads {
			err = p.Read(now)
			now = now.Add(c.pause)
		}
		assert.Equal(t, err == nil, c.ok, "%d pauses of %s: %v", c.reads, c.pause, err)
	}
}

func TestStatusesOfHTTP(t *testing.T) {
	for status, ok := range map[int]bool{-1: false, 0: false, 20: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false} {
		err := intake.CheckStatus(status)
		var invalid *intake.StatusError
		assert.Equal(t, !errors.As(err, &invalid), ok, "%d: %v", status, err)
	}
}

func TestFieldNamesAreTokens(t *testing.T) {
	for name, ok := range map[string]bool{
		"X-Crate": true, "x_crate.7": true, "!#$%&'*+-.^_`|~": true, "7": true,
		"": false, " X": false, "X ": false, "X Y": false, "X\tY": false, "X\x00": false, "X\x7f": false, "X(1)": false, "X\u00e9": false, "X:": false,
	} {
		err := intake.CheckFieldNames(map[string][]string{"A": {"b"}, name: {"c"}})
		var invalid *intake.FieldNameError
		assert.Equal(t, !errors.As(err, &invalid), ok, "%q: %v", name, err)
	}
	assert.NilError(t, intake.CheckFieldNames(nil))
	err := intake.CheckFieldNames(map[string][]string{strings.Repeat("a b", 1000): nil})
	assert.Assert(t, len(err.Error()) < 200)
}
