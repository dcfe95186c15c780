// Package link carries messages between routers over QUIC with mutual TLS.
//
// Each pair of routers keeps one connection, dialled by whichever side first
// has something to say and closed after a long time without use. Small
// messages go as datagrams and may be lost; long ones and conversations go as
// streams, one a message or conversation. What is decided on these messages
// is decided elsewhere: this package neither orders nor repeats them.
package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/sha256"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/internal/pause"
)

// Limits and times of the link.
const (
	MaxMessage = 1 << 20  // bytes of a body given to Send, or of a Fetch request
	MaxAnswer  = 16 << 20 // bytes of the answer of a Fetch

	queueMessages = 1024 // waiting for one peer
	queueBytes    = 2 * MaxMessage
	queueTime     = 2 * time.Second // after it a waiting message is dropped
	coalesceTime  = time.Millisecond
	datagramSize  = 1150 // bytes; fits the smallest packet that QUIC allows

	dialTimeout = 2 * time.Second
	backoffMin  = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	healthyAge  = time.Second // a connection that lived this long was no failure

	idleTimeout   = 10 * time.Minute // without any packet; there is no keepalive
	silentTime    = 3 * time.Second  // without a packet while one is awaited
	lowerCloses   = 2 * time.Second  // the lower ID closes a connection replaced this long ago
	higherCloses  = 30 * time.Second // and the higher ID does
	sweepPeriod   = time.Second
	writeTimeout  = 2 * time.Second
	answerTimeout = 10 * time.Second

	lingerTime = 200 * time.Millisecond // sending goes on this long after Run's ctx ended

	messageStreams = 64 // open at once from one peer
	fetchStreams   = 64

	protocol      = "windscale-link/1" // ALPN
	resetKeyLabel = "windscale stateless reset"
)

// Codes with which connections and streams are closed.
const (
	codeStopped quic.ApplicationErrorCode = iota + 1
	codeRefused
	codeBlocked
	codeDuplicate // the other connection of the pair is kept
	codeSilent
)

const (
	streamTooLarge quic.StreamErrorCode = iota + 1
	streamFailed
	streamGivenUp
)

// Handler takes one message. It is called from several goroutines at once,
// and in no order; while it runs, further datagrams of that peer wait and,
// past a bound, are lost. It may keep body.
type Handler func(from msg.RouterID, kind uint8, body []byte)

// FetchHandler answers one conversation. It is called on a goroutine of its
// own; ctx ends with the peer's connection. After an error the peer gets
// KindRefused.
type FetchHandler func(ctx context.Context, from msg.RouterID, kind uint8, req []byte) ([]byte, error)

// Config is what a link needs. All fields but Log are required.
type Config struct {
	ID     msg.RouterID
	Listen string // IP:port, UDP; port 0 takes a free one
	// TLS is asked for each new connection. When its CAs change, connections
	// that are open stay so if the peer's certificate is still trusted.
	TLS fleetcert.Source
	// Resolve returns a peer's link address, IP:port. It is called from any
	// goroutine, must not block, and must not call the link.
	Resolve      func(msg.RouterID) (addr string, ok bool)
	Handler      Handler
	FetchHandler FetchHandler
	// Up is told of each new connection to a peer, also of one that replaces
	// another: what was sent just before may be lost. It is called from any
	// goroutine and must not block; it may call Send. Nil: nobody is told.
	Up  func(msg.RouterID)
	Log *slog.Logger
}

// Link is one router's end of the links to all others.
type Link struct {
	config    Config
	log       *slog.Logger
	transport *quic.Transport
	listener  *quic.Listener
	counters  counters

	// ctx ends when the link stops; all of its goroutines hang on it.
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	mu    sync.Mutex
	peers map[msg.RouterID]*peer
}

// New opens the socket, so that the address is known and taken. Dials work at
// once; peers are accepted when [Link.Run] runs. The error is KindListen,
// KindUnresolved, KindConfig or one of fleetcert.
func New(config Config) (*Link, error) {
	own, err := config.TLS.Current().Router()
	if err != nil {
		return nil, err
	}
	if own != config.ID {
		return nil, &Error{Kind: KindConfig, Peer: own}
	}
	addr, err := net.ResolveUDPAddr("udp", config.Listen)
	if err != nil {
		return nil, &Error{Kind: KindUnresolved, Err: err}
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, &Error{Kind: KindListen, Err: err}
	}
	l := &Link{config: config, log: config.Log, peers: map[msg.RouterID]*peer{}}
	if l.log == nil {
		l.log = slog.New(slog.DiscardHandler)
	}
	l.transport = &quic.Transport{Conn: socket, StatelessResetKey: resetKey(config.TLS.Current())}
	l.listener, err = l.transport.Listen(fleetcert.RouterListener(config.TLS, protocol), quicConfig())
	if err != nil {
		socket.Close()
		return nil, &Error{Kind: KindListen, Err: err}
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    dialTimeout,
		MaxIdleTimeout:          idleTimeout,
		MaxIncomingStreams:      fetchStreams,
		MaxIncomingUniStreams:   messageStreams,
		DisablePathMTUDiscovery: true, // its probes cost more than they save here
		EnableDatagrams:         true,
	}
}

// resetKey is the same after a restart with the same certificate, so that a
// router without memory can tell its peers that their connections are gone.
func resetKey(c fleetcert.Credentials) *quic.StatelessResetKey {
	key, ok := c.Cert.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil
	}
	secret, err := key.Bytes()
	if err != nil {
		return nil
	}
	sum := quic.StatelessResetKey(sha256.Sum256(append([]byte(resetKeyLabel), secret...)))
	return &sum
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() net.Addr { return l.transport.Conn.LocalAddr() }

// Run accepts peers until ctx ends. It goes on sending for lingerTime, so that
// a departure that others announce on the end of the same ctx still goes out;
// then it closes all connections and the socket and waits for the link's
// goroutines. It is called once. The error is nil after ctx has ended.
func (l *Link) Run(ctx context.Context) error {
	defer l.Close()
	l.work.Go(l.sweepLoop)
	for {
		conn, err := l.listener.Accept(ctx)
		if ctx.Err() != nil || l.ctx.Err() != nil {
			pause.For(l.ctx, lingerTime)
			return nil
		}
		if err != nil {
			return &Error{Kind: KindListen, Err: err}
		}
		l.accept(conn)
	}
}

// Close stops the link, also one that never ran. It may be called again.
func (l *Link) Close() {
	l.stop()
	for _, p := range l.allPeers() {
		p.closeAll(codeStopped)
	}
	l.listener.Close()
	l.transport.Close()
	l.transport.Conn.Close()
	l.work.Wait()
}

// accept takes a connection whose certificate TLS has already verified.
func (l *Link) accept(conn *quic.Conn) {
	from, err := fleetcert.RouterOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		conn.CloseWithError(codeRefused, "")
		return
	}
	if from == l.config.ID {
		l.refuse(conn, from, codeRefused)
		return
	}
	p := l.peer(from)
	if !p.attach(conn, false) {
		l.refuse(conn, from, codeBlocked)
	}
}

func (l *Link) refuse(conn *quic.Conn, from msg.RouterID, code quic.ApplicationErrorCode) {
	l.counters.refused.Add(1)
	events.LinkPeerRefused.Log(l.ctx, l.log, slog.LevelWarn, "peer", from, "addr", conn.RemoteAddr().String())
	conn.CloseWithError(code, "")
}

// Block cuts the link to a peer until [Link.Unblock]: connections are closed
// and refused, messages dropped. It exists to provoke faults.
func (l *Link) Block(to msg.RouterID) {
	events.LinkBlocked.Log(l.ctx, l.log, slog.LevelWarn, "peer", to)
	l.peer(to).setBlocked(true)
}

// Unblock ends what [Link.Block] began.
func (l *Link) Unblock(to msg.RouterID) {
	events.LinkUnblocked.Log(l.ctx, l.log, slog.LevelInfo, "peer", to)
	l.peer(to).setBlocked(false)
}

// peer returns the peer's record, made on first use.
func (l *Link) peer(id msg.RouterID) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[id]
	if !ok {
		p = &peer{link: l, id: id}
		l.peers[id] = p
	}
	return p
}

func (l *Link) allPeers() []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		all = append(all, p)
	}
	return all
}

func (l *Link) sweepLoop() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			for _, p := range l.allPeers() {
				p.sweep(now)
			}
		}
	}
}
