package peers

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/roster"
)

// Paths at the control address of a router.
const (
	pathJoin    = "/fleet/join" // the view, for a router that joins
	pathConfig  = "/fleet/configuration"
	pathChanges = "/fleet/changes" // of the server list
	pathRouters = "/fleet/routers"
)

// fetchResponse is the response to a fetch of another router.
type fetchResponse struct {
	status    int
	body      []byte
	onWritten func() // called after the response was written; may be nil
}

// Handler serves this router's view to its peers.
func (p *Peers) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp := p.handleFetch(r.URL.Path, r.URL.Query())
		if resp.onWritten != nil {
			defer resp.onWritten()
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		w.WriteHeader(resp.status)
		_, _ = w.Write(resp.body) // a peer whose connection broke asks another router
	})
}

// Respond returns the body that the handler would send for a path.
func (p *Peers) Respond(path string) ([]byte, error) {
	u, err := url.Parse(path)
	if err != nil {
		return nil, err
	}
	resp := p.handleFetch(u.Path, u.Query())
	if resp.onWritten != nil {
		resp.onWritten()
	}
	if resp.status != http.StatusOK {
		return nil, &StatusError{Status: resp.status, Body: resp.body}
	}
	return resp.body, nil
}

// handleFetch returns the response to a fetch.
func (p *Peers) handleFetch(path string, query url.Values) fetchResponse {
	switch path {
	case pathJoin:
		return p.serveView(query)
	case pathConfig:
		return p.serveConfig()
	case pathChanges:
		return p.serveChanges(query)
	case pathRouters:
		return p.serveRouters(query)
	case pathServers:
		return p.serveOlderList()
	case pathView:
		return p.serveOlderView()
	}
	return fetchResponse{status: http.StatusNotFound}
}

// bodyResponse returns a response with the body, or an internal server error if err is set.
func (p *Peers) bodyResponse(body []byte, err error) fetchResponse {
	if err != nil {
		return fetchResponse{status: http.StatusInternalServerError, body: []byte(err.Error())}
	}
	p.Stats.served.add(1, len(body))
	return fetchResponse{status: http.StatusOK, body: body}
}

// serveConfig returns the configuration in force.
func (p *Peers) serveConfig() fetchResponse {
	raw := p.State.Raw()
	if raw == nil {
		return fetchResponse{status: http.StatusServiceUnavailable}
	}
	return p.bodyResponse(raw, nil)
}

// serveChanges returns the changes of the server list since the stamp in the query, or the whole
// list if they are not known.
func (p *Peers) serveChanges(query url.Values) fetchResponse {
	since, err := parseStamp(query)
	if err != nil {
		return fetchResponse{status: http.StatusBadRequest, body: []byte(err.Error())}
	}
	if d, ok := p.State.ServerDeltaSince(since); ok {
		return p.bodyResponse(cbor.Marshal(packDelta(d)))
	}
	return p.bodyResponse(p.encodeServerList())
}

// parseStamp parses the stamp in a query.
func parseStamp(query url.Values) (roster.Stamp, error) {
	var numbers [3]uint64
	for i, name := range []string{"era", "ver", "edits"} {
		n, err := strconv.ParseUint(query.Get(name), 10, 64)
		if err != nil {
			return roster.Stamp{}, err
		}
		numbers[i] = n
	}
	return roster.Stamp{Era: numbers[0], Version: numbers[1], Edits: uint32(numbers[2])}, nil
}

// serveRouters returns the live routers of the data centres in the query.
func (p *Peers) serveRouters(query url.Values) fetchResponse {
	p.mu.Lock()
	var lists []memberList
	for _, dataCentre := range strings.Split(query.Get("dc"), ",") {
		lists = append(lists, packMembers(dataCentre, p.spread.Members(dataCentre)))
	}
	p.mu.Unlock()
	return p.bodyResponse(cbor.Marshal(lists))
}
