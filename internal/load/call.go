package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what became of one request that was sent once.
type result struct {
	verdict
	problem    string        // Refused: the problem's type, or the status
	ran        string        // Refused: Windscale-Run, or "absent"
	retryAfter time.Duration // 0: none was said
	id         string        // Windscale-Request of the answer
	end        time.Time
}

const (
	// lateGrace is how long after its deadline a caller still listens, so that
	// late answers are told from none.
	lateGrace = 2 * time.Second
	// maxProblem bounds the body of a refusal, in bytes.
	maxProblem = 64 << 10
)

// client sends requests and checks their answers.
type client struct {
	http    *http.Client
	section *Section
	report  progress
}

// send sends a request once.
func (c *client) send(ctx context.Context, r *request) result {
	if c.section.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.section.Timeout+lateGrace)
		defer cancel()
	}
	began := time.Now()
	resp, err := c.roundTrip(ctx, r)
	if err != nil {
		return result{verdict: lostVerdict(err), end: time.Now()}
	}
	defer resp.Body.Close()
	out := c.judge(r, resp)
	out.id = resp.Header.Get("Windscale-Request")
	out.end = time.Now()
	if out.class == Whole && c.section.Timeout > 0 && out.end.Sub(began) > c.section.Timeout {
		out.class, out.reason = Late, "late"
	}
	return out
}

// roundTrip sends the request and returns the answer, whose body is not yet
// read.
func (c *client) roundTrip(ctx context.Context, r *request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, r.target+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send a request again by itself, as
	// it would for one with an Idempotency-Key.
	req.GetBody = nil
	if len(r.body) == 0 {
		req.Body = nil
	}
	req.Header.Set("Authorization", "Bearer "+c.section.Key)
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if c.section.Timeout > 0 {
		req.Header.Set("Windscale-Timeout", c.section.Timeout.String())
	}
	return c.http.Do(req)
}

// judge checks an answer against the one that the request must get.
func (c *client) judge(r *request, resp *http.Response) result {
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	if r.stream {
		return result{verdict: checkStream(r, resp.Body, c.report)}
	}
	check := checkWhole
	if r.want != nil {
		check = checkBody
	}
	out := result{verdict: check(r, resp.Body)}
	if out.class == Whole {
		c.report(r.completion.Len(), r.cost())
	}
	return out
}

// refusal reads an answer other than 200.
func refusal(resp *http.Response) result {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblem)) // the status says enough
	out := result{verdict: verdict{class: Refused}, problem: "status " + strconv.Itoa(resp.StatusCode)}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		out.problem = problemType(body)
	}
	out.ran = resp.Header.Get("Windscale-Run")
	if out.ran == "" {
		out.ran = "absent"
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return out
}

// lostVerdict classes the failure to get any answer.
func lostVerdict(err error) verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict{class: NotSent, reason: "dial"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict{class: Broken, reason: "no answer in time"}
	}
	return verdict{class: Broken, reason: "no answer"}
}
