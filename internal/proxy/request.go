package proxy

import (
	stderrors "errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/problem"
)

const (
	// allowAll in a customer's list allows every name; at the end of a path that
	// is not to be repeated it stands for any rest.
	allowAll = "*"

	// maxAttempts bounds the attempts of one request, beside the allowance.
	maxAttempts = 3
	// maxResumes bounds the resumptions of one stream.
	maxResumes = 5
	// defaultRequestTime holds where the settings name none.
	defaultRequestTime = time.Minute
)

// modelRule: engines have no effect beyond their answer, so that a request may
// run again until part of an answer has gone out.
var modelRule = attempt.Policy{Repeat: true, Resume: true, MaxAttempts: maxAttempts, MaxResumes: maxResumes}

// serviceRule: only safe methods (RFC 9110, 9.2.1) that the settings don't list
// as not to be repeated may run again after an unknown outcome. Other calls are
// tried again only if they have certainly not run.
func serviceRule(method string, once bool) attempt.Policy {
	return attempt.Policy{Repeat: !once && isSafe(method), MaxAttempts: maxAttempts}
}

// isSafe reports whether the method changes nothing at the server.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// arrival is a request that came whole.
type arrival struct {
	at    time.Time     // when it came
	limit time.Duration // how long it may take in all
	body  []byte
}

// arrived reads the request's time limit and its body. On failure it has refused
// the request.
func (p *Proxy) arrived(w http.ResponseWriter, r *http.Request, c *settings.Customer) (arrival, bool) {
	limit, ok := timeLimit(r.Header, c.RequestTime)
	if !ok {
		p.refuseEarly(w, c, problem.BadTimeout, "")
		return arrival{}, false
	}
	a := arrival{at: p.Now(), limit: limit}
	a.body, ok = p.readBody(w, r, c, limit)
	return a, ok
}

// readBody reads the body whole, within the request's time; the entry has
// capped its size. On failure it has refused the request.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, c *settings.Customer, limit time.Duration) ([]byte, bool) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(limit)) // writers in tests have none
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if stderrors.As(err, &tooLarge) {
		p.refuseEarly(w, c, problem.BodyTooLarge, "")
		return nil, false
	}
	var refusal *problem.Error
	if stderrors.As(err, &refusal) {
		p.refuseEarly(w, c, refusal.Type, "")
		return nil, false
	}
	p.refuseEarly(w, c, problem.RequestTimeout, "the body did not arrive whole")
	return nil, false
}

// allowed reports whether a name is in a customer's list.
func allowed(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, allowAll)
}

// canonical decodes an escaped path. A path that servers might read as another
// one is not accepted: the settings are asked about what the server will see.
func canonical(escaped string) (string, bool) {
	path, err := url.PathUnescape(escaped)
	if err != nil || !strings.HasPrefix(escaped, "/") {
		return "", false
	}
	if strings.Contains(path, "//") || strings.Contains(path, `\`) {
		return "", false
	}
	if strings.ContainsFunc(path, unicode.IsControl) {
		return "", false
	}
	for segment := range strings.SplitSeq(path, "/") {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return "", false
		}
	}
	return path, true
}

// printable reports whether a raw query can stand in a request line. By HTTP/2
// a caller may send one that can't.
func printable(query string) bool {
	return !strings.ContainsFunc(query, func(c rune) bool { return c <= ' ' || c > '~' || c == '#' })
}

// isOnce reports whether the settings list the call as not to be repeated.
// Letter case, a slash at the end and path parameters make no other call of it.
func isOnce(list []string, method, path string) bool {
	path = plainPath(path)
	return slices.ContainsFunc(list, func(entry string) bool {
		m, pattern, _ := strings.Cut(entry, " ")
		if !strings.EqualFold(m, method) {
			return false
		}
		pattern = strings.TrimSpace(pattern)
		if prefix, ok := strings.CutSuffix(pattern, allowAll); ok {
			return strings.HasPrefix(path+"/", strings.ToLower(prefix))
		}
		return plainPath(pattern) == path
	})
}

// plainPath returns a path as it is compared.
func plainPath(path string) string {
	segments := strings.Split(strings.ToLower(path), "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return strings.TrimRight(strings.Join(segments, "/"), "/")
}

// timeLimit returns the longest the request may take: the customer's request
// time, or what the caller asks for if it is shorter.
func timeLimit(h http.Header, requestTime time.Duration) (time.Duration, bool) {
	limit := requestTime
	if limit <= 0 {
		limit = defaultRequestTime
	}
	asked := h.Get(backend.HeaderTimeout)
	if asked == "" {
		return limit, true
	}
	d, err := time.ParseDuration(asked)
	if err != nil || d <= 0 {
		return 0, false
	}
	return min(d, limit), true
}
