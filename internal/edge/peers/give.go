package peers

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/roster"
)

// Paths at a router's control address.
const (
	pathJoin    = "/fleet/join" // the view, for a router that starts
	pathConfig  = "/fleet/configuration"
	pathChanges = "/fleet/changes" // of the list of servers
	pathRouters = "/fleet/routers"
)

// given is what a router answers to another that fetches something.
type given struct {
	status int
	text   []byte
	done   func() // called once it was written; nil: nothing is to be done
}

// Handler serves this router's view to its peers.
func (p *Peers) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g := p.answerFetch(r.URL.Path, r.URL.Query())
		if g.done != nil {
			defer g.done()
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(g.text)))
		w.WriteHeader(g.status)
		_, _ = w.Write(g.text) // a peer that has gone asks another router
	})
}

// Give returns what the router answers to one that fetches a path, as the handler does.
func (p *Peers) Give(path string) ([]byte, error) {
	u, err := url.Parse(path)
	if err != nil {
		return nil, err
	}
	g := p.answerFetch(u.Path, u.Query())
	if g.done != nil {
		g.done()
	}
	if g.status != http.StatusOK {
		return nil, &StatusError{Status: g.status, Body: g.text}
	}
	return g.text, nil
}

// answerFetch answers a peer.
func (p *Peers) answerFetch(path string, query url.Values) given {
	switch path {
	case pathJoin:
		return p.giveView(query)
	case pathConfig:
		return p.giveConfig()
	case pathChanges:
		return p.giveChanges(query)
	case pathRouters:
		return p.giveRouters(query)
	case pathServers:
		return p.giveOlderList()
	case pathView:
		return p.giveOlderView()
	}
	return given{status: http.StatusNotFound}
}

// giveText is an answer with what can be had.
func (p *Peers) giveText(text []byte, err error) given {
	if err != nil {
		return given{status: http.StatusInternalServerError, text: []byte(err.Error())}
	}
	p.Stats.given.add(1, len(text))
	return given{status: http.StatusOK, text: text}
}

// giveConfig gives the configuration in force.
func (p *Peers) giveConfig() given {
	raw := p.State.Raw()
	if raw == nil {
		return given{status: http.StatusServiceUnavailable}
	}
	return p.giveText(raw, nil)
}

// giveChanges gives what has changed of the list of servers since the asker's stamp, or all of it.
func (p *Peers) giveChanges(query url.Values) given {
	since, err := stampOf(query)
	if err != nil {
		return given{status: http.StatusBadRequest, text: []byte(err.Error())}
	}
	if d, ok := p.State.ServerDeltaSince(since); ok {
		return p.giveText(cbor.Marshal(packDelta(d)))
	}
	return p.giveText(p.wholeList())
}

// stampOf reads the asker's stamp.
func stampOf(query url.Values) (roster.Stamp, error) {
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

// giveRouters gives the live routers of data centres.
func (p *Peers) giveRouters(query url.Values) given {
	p.mu.Lock()
	var lists []memberList
	for _, centre := range strings.Split(query.Get("dc"), ",") {
		lists = append(lists, packMembers(centre, p.spread.Members(centre)))
	}
	p.mu.Unlock()
	return p.giveText(cbor.Marshal(lists))
}
