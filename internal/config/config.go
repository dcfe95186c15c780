// Package config reads a router's own INI file: its addresses, data centre,
// platform, TLS files and seeds. It checks the whole file and reports every
// fault at once. What all routers share is in the settings tree instead.
package config

import (
	"crypto/tls"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
)

// Sharing says how a router decides who gets the next slot.
type Sharing string

// The ways of sharing.
const (
	// SharingFleet is the default: one share of each customer in the whole fleet.
	SharingFleet Sharing = "fleet"
	// SharingAlone is the naive baseline that measurements compare with, and is
	// for nothing else: each router hands out a fixed part of every server's
	// slots by what it has seen itself, so that customers get no fair share of
	// the fleet.
	SharingAlone Sharing = "alone"
)

// Seed is a router that is tried when the host list is not to be had.
type Seed struct {
	ID   msg.RouterID
	Addr string // link address, IP:port
}

// Router is a checked configuration.
type Router struct {
	ID         msg.RouterID
	DataCentre string
	Entry      string // callers' listener, IP:port
	Link       string // other routers' listener, IP:port (UDP)
	Admin      string // operators' listener, IP:port
	AdminToken string
	AdminTLS   bool // operators' listener serves HTTPS with the fleet identity
	Sharing    Sharing
	// Faults allows operators to cut links on purpose, for tests of failures.
	Faults bool

	PlatformURL string

	CA, Cert, Key       string // files: the fleet's CA and this router's identity
	EntryCert, EntryKey string // files: for HTTPS to callers; empty: plain HTTP

	Seeds []Seed

	LogFormat string // "json" or "text"
	LogLevel  slog.Level
}

// Load reads and checks the file. Its error is *Error with every fault.
func Load(path string) (*Router, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, path)
	if err != nil {
		return nil, &Error{Faults: []Fault{{File: path, Kind: Unreadable, Detail: err.Error()}}}
	}
	p := &parser{path: path, file: f}
	r := p.router()
	p.identity(r)
	p.entryPair(r)
	p.unknown()
	if len(p.faults) > 0 {
		return nil, &Error{Faults: p.faults}
	}
	return r, nil
}

// parser collects values and faults.
type parser struct {
	path   string
	file   *ini.File
	faults []Fault
	known  []string // "section.key" asked for
}

// router reads every key. What is faulty is left empty, or at its default.
func (p *parser) router() *Router {
	return &Router{
		ID:          msg.RouterID(p.text("router", "id")),
		DataCentre:  p.text("router", "data_centre"),
		Entry:       p.addr("router", "entry"),
		Link:        p.addr("router", "link"),
		Admin:       p.addr("router", "admin"),
		AdminToken:  p.secret("router", "admin_token_file"),
		AdminTLS:    p.choice("router", "admin_tls", "false", "true") == "true",
		Sharing:     Sharing(p.choice("router", "sharing", string(SharingFleet), string(SharingAlone))),
		Faults:      p.choice("router", "faults", "false", "true") == "true",
		PlatformURL: p.url("platform", "url"),
		CA:          p.readable("tls", "ca", true),
		Cert:        p.readable("tls", "cert", true),
		Key:         p.readable("tls", "key", true),
		EntryCert:   p.readable("tls", "entry_cert", false),
		EntryKey:    p.readable("tls", "entry_key", false),
		Seeds:       p.seeds("seeds", "routers"),
		LogFormat:   p.choice("log", "format", "json", "text"),
		LogLevel:    p.level("log", "level"),
	}
}

// fault notes what is wrong with a key.
func (p *parser) fault(section, key string, kind FaultKind, detail string) {
	p.faults = append(p.faults, Fault{File: p.path, Section: section, Key: key, Kind: kind, Detail: detail})
}

// optional returns the value, "" when absent, and refuses a key given twice.
func (p *parser) optional(section, key string) string {
	p.known = append(p.known, section+"."+key)
	sec, err := p.file.GetSection(section)
	if err != nil {
		return ""
	}
	if !sec.HasKey(key) {
		return ""
	}
	all := sec.Key(key).ValueWithShadows()
	if len(all) > 1 {
		p.fault(section, key, Twice, strings.Join(all, " | "))
	}
	return strings.TrimSpace(sec.Key(key).String())
}

// text returns a value that must be there.
func (p *parser) text(section, key string) string {
	v := p.optional(section, key)
	if v == "" {
		p.fault(section, key, Missing, "")
	}
	return v
}

// addr returns an address that must be there, IP:port.
func (p *parser) addr(section, key string) string {
	v := p.text(section, key)
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		p.fault(section, key, NotIPPort, v)
	}
	return v
}

// url returns a base URL that must be there, without a slash at its end.
func (p *parser) url(section, key string) string {
	v := p.text(section, key)
	if v != "" && !strings.HasPrefix(v, "http://") && !strings.HasPrefix(v, "https://") {
		p.fault(section, key, NotURL, v)
	}
	return strings.TrimRight(v, "/")
}

// choice returns the value, the first choice when absent.
func (p *parser) choice(section, key string, choices ...string) string {
	v := p.optional(section, key)
	if v == "" {
		return choices[0]
	}
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	p.fault(section, key, NotAChoice, v+" is none of "+strings.Join(choices, ", "))
	return choices[0]
}

// level returns a log level, by default info.
func (p *parser) level(section, key string) slog.Level {
	v := p.optional(section, key)
	if v == "" {
		return slog.LevelInfo
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(v)); err != nil {
		p.fault(section, key, NotAChoice, v+" is no log level")
	}
	return l
}

// readable returns the path of a file that can be read.
func (p *parser) readable(section, key string, needed bool) string {
	v := p.optional(section, key)
	if v == "" {
		if needed {
			p.fault(section, key, Missing, "")
		}
		return ""
	}
	if _, err := os.ReadFile(v); err != nil {
		p.fault(section, key, Unreadable, err.Error())
	}
	return v
}

// identity reports files that are readable but no identity of this router. One
// that has expired is no fault: it must not keep a router from its callers.
func (p *parser) identity(r *Router) {
	if p.faulty("tls", "ca") || p.faulty("tls", "cert") || p.faulty("tls", "key") {
		return
	}
	if _, err := fleetcert.LoadPool(r.CA); err != nil {
		p.fault("tls", "ca", NotUsable, err.Error())
		return
	}
	cred, err := fleetcert.Load(r.CA, r.Cert, r.Key)
	if err != nil {
		p.fault("tls", "cert", NotUsable, err.Error())
		return
	}
	own, err := cred.Router()
	if err != nil {
		p.fault("tls", "cert", NotUsable, err.Error())
	} else if own != r.ID {
		p.fault("tls", "cert", NotUsable, "it is of router "+string(own))
	}
}

// entryPair reports half a pair for callers, and files that are none.
func (p *parser) entryPair(r *Router) {
	switch {
	case r.EntryCert == "" && r.EntryKey == "":
	case r.EntryCert == "":
		p.fault("tls", "entry_cert", Missing, "entry_key is given")
	case r.EntryKey == "":
		p.fault("tls", "entry_key", Missing, "entry_cert is given")
	case p.faulty("tls", "entry_cert") || p.faulty("tls", "entry_key"):
	default:
		if _, err := tls.LoadX509KeyPair(r.EntryCert, r.EntryKey); err != nil {
			p.fault("tls", "entry_cert", NotUsable, err.Error())
		}
	}
}

// faulty says whether the key has a fault already.
func (p *parser) faulty(section, key string) bool {
	return slices.ContainsFunc(p.faults, func(f Fault) bool { return f.Section == section && f.Key == key })
}

// minToken is the fewest characters of an operators' token.
const minToken = 16

// secret returns the text of the file that the key names.
func (p *parser) secret(section, key string) string {
	v := p.readable(section, key, true)
	if v == "" {
		return ""
	}
	b, err := os.ReadFile(v)
	if err != nil {
		return "" // already a fault
	}
	token := strings.TrimSpace(string(b))
	if len(token) < minToken {
		p.fault(section, key, TooShort, "at least "+strconv.Itoa(minToken)+" characters")
	}
	return token
}

// seeds returns the seeds, ID@IP:PORT by commas.
func (p *parser) seeds(section, key string) []Seed {
	v := p.optional(section, key)
	if v == "" {
		return nil
	}
	var seeds []Seed
	for _, part := range strings.Split(v, ",") {
		id, addr, ok := strings.Cut(strings.TrimSpace(part), "@")
		_, err := netip.ParseAddrPort(addr)
		if !ok || id == "" || err != nil {
			p.fault(section, key, NotASeed, strings.TrimSpace(part))
			continue
		}
		seeds = append(seeds, Seed{ID: msg.RouterID(id), Addr: addr})
	}
	return seeds
}

// unknown reports each key that nothing asked for. A section without keys says
// nothing, whatever its name.
func (p *parser) unknown() {
	known := map[string]bool{}
	for _, k := range p.known {
		known[k] = true
	}
	for _, sec := range p.file.Sections() {
		for _, key := range sec.Keys() {
			if !known[sec.Name()+"."+key.Name()] {
				p.fault(sec.Name(), key.Name(), UnknownKey, "")
			}
		}
	}
}
