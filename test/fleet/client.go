package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/standin/backend"
	standin "github.com/windscale/windscale/internal/standin/platform"
)

// callLimit bounds one call of the scaffolding to a process.
const callLimit = 3 * time.Second

var client = &http.Client{Timeout: callLimit}

// call makes one request with the admin token and returns the answer's body;
// a status of 300 or more is an error.
func call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fail(err, "%s %s", method, url)
	}
	req.Header.Set("Authorization", "Bearer "+adminToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, fail(err, "%s %s", method, url)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fail(err, "%s %s", method, url)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fail(nil, "%s %s: %s: %s", method, url, resp.Status, b)
	}
	return b, nil
}

// getJSON decodes the answer into v, unless v is nil.
func getJSON(ctx context.Context, url string, v any) error {
	b, err := call(ctx, http.MethodGet, url, nil)
	if err != nil || v == nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fail(err, "answer of %s", url)
	}
	return nil
}

func sendJSON(ctx context.Context, method, url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fail(err, "%s %s", method, url)
	}
	_, err = call(ctx, method, url, b)
	return err
}

// Ready says whether the router takes requests.
func (r *Router) Ready(ctx context.Context) bool {
	return getJSON(ctx, "http://"+r.Admin+"/readyz", nil) == nil
}

// Status asks the router.
func (r *Router) Status(ctx context.Context) (s admin.Status, err error) {
	err = getJSON(ctx, "http://"+r.Admin+"/v1/status", &s)
	return s, err
}

// Vars returns the router's numeric metrics by path, such as "link.sent_total".
func (r *Router) Vars(ctx context.Context) (map[string]float64, error) {
	var v struct {
		Windscale map[string]any `json:"windscale"`
	}
	err := getJSON(ctx, "http://"+r.Admin+"/debug/vars", &v)
	out := make(map[string]float64)
	flatten(out, "", v.Windscale)
	return out, err
}

func flatten(out map[string]float64, prefix string, m map[string]any) {
	for name, value := range m {
		switch value := value.(type) {
		case float64:
			out[prefix+name] = value
		case map[string]any:
			flatten(out, prefix+name+".", value)
		}
	}
}

// Post calls a router's admin API.
func (r *Router) Post(ctx context.Context, path string, v any) error {
	return sendJSON(ctx, http.MethodPost, "http://"+r.Admin+path, v)
}

// Load asks the server.
func (b *Backend) Load(ctx context.Context) (l backend.Load, err error) {
	err = getJSON(ctx, "http://"+b.Addr+"/v1/load", &l)
	return l, err
}

// Fault orders a fault of the server.
func (b *Backend) Fault(ctx context.Context, v any) error {
	return sendJSON(ctx, http.MethodPost, "http://"+b.Addr+"/_fault", v)
}

// PlatformFault puts one of the platform's services into a mode.
func (f *Fleet) PlatformFault(ctx context.Context, order standin.Fault) error {
	return sendJSON(ctx, http.MethodPost, f.URL+"/_fault", order)
}

// Probe sends one request of each kind to every router and returns the first
// that is not answered with success.
func (f *Fleet) Probe(ctx context.Context, c Customer, model, service string) error {
	chat := `{"model":"` + model + `","max_tokens":2,"messages":[{"role":"user","content":"probe"}]}`
	calls := []struct{ method, path, body string }{
		{http.MethodPost, "/v1/chat/completions", chat},
		{http.MethodGet, "/services/" + service + "/jobs/probe", ""},
		{http.MethodPost, "/services/" + service + "/bookings", `{"probe":true}`},
	}
	for _, r := range f.Routers {
		for _, call := range calls {
			if err := probe(ctx, c, call.method, "http://"+r.Entry+call.path, call.body); err != nil {
				return err
			}
		}
	}
	return nil
}

func probe(ctx context.Context, c Customer, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return fail(err, "probe %s", url)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key())
	req.Header.Set("Content-Type", "application/json")
	if method == http.MethodPost {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("probe-%d", probes.Add(1)))
	}
	resp, err := client.Do(req)
	if err != nil {
		return fail(err, "probe %s", url)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fail(err, "probe %s: %s", url, resp.Status)
	}
	return nil
}

// probes numbers the probes, so that none repeats another's key.
var probes atomic.Uint64
