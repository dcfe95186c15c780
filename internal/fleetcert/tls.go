package fleetcert

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

const adminProtocol = "http/1.1" // ALPN

// Credentials is what a router needs to prove itself and to check others.
type Credentials struct {
	Cert tls.Certificate
	CA   *x509.CertPool
}

// Current returns c, so that fixed credentials are a [Source].
func (c Credentials) Current() Credentials { return c }

// Source gives the credentials that are in force now. Any goroutine may call
// it, for each new connection.
type Source interface {
	Current() Credentials
}

// Load reads a router's credentials from PEM files.
func Load(caFile, certFile, keyFile string) (Credentials, error) {
	pool, err := LoadPool(caFile)
	if err != nil {
		return Credentials{}, err
	}
	cert, err := readFile(certFile)
	if err != nil {
		return Credentials{}, err
	}
	key, err := readFile(keyFile)
	if err != nil {
		return Credentials{}, err
	}
	return NewCredentials(Pair{Cert: cert, Key: key}, pool)
}

// LoadPool reads the CAs' certificates from a PEM file: one, or several while
// one CA takes the place of another.
func LoadPool(caFile string) (*x509.CertPool, error) {
	text, err := readFile(caFile)
	if err != nil {
		return nil, err
	}
	return ParsePool(text)
}

// ParsePool reads the CAs' certificates from PEM text. None, or one that is
// damaged, is KindPEM, so that a half-written file is never taken for a whole.
func ParsePool(text []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	for {
		cert, err := parseCert(text)
		if err != nil {
			return nil, err
		}
		if !cert.IsCA {
			return nil, &Error{Kind: KindPEM, Subject: "not a CA: " + cert.Subject.CommonName}
		}
		pool.AddCert(cert)
		_, text = pem.Decode(text)
		if len(bytes.TrimSpace(text)) == 0 {
			return pool, nil
		}
	}
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Kind: KindFile, Subject: path, Err: err}
	}
	return text, nil
}

// NewCredentials puts a pair and the trusted CA together.
func NewCredentials(pair Pair, ca *x509.CertPool) (Credentials, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return Credentials{}, &Error{Kind: KindPEM, Subject: "certificate and key", Err: err}
	}
	return Credentials{Cert: cert, CA: ca}, nil
}

// Router returns the router that the credentials name.
func (c Credentials) Router() (msg.RouterID, error) {
	leaf, err := x509.ParseCertificate(c.Cert.Certificate[0])
	if err != nil {
		return "", &Error{Kind: KindPEM, Subject: "certificate", Err: err}
	}
	return RouterOf(leaf)
}

// CheckRouter says whether the credentials are fit to replace others of the
// given router: valid at now, issued by a CA that they trust themselves, and
// of that router. The error is KindExpired, KindChain, KindIdentity, KindRole
// or KindPeer.
func (c Credentials) CheckRouter(id msg.RouterID, now time.Time) error {
	if err := c.CheckTime(now); err != nil {
		return err
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := c.verify(c.Cert.Leaf, usage, now); err != nil {
			return err
		}
	}
	own, err := RouterOf(c.Cert.Leaf)
	if err != nil {
		return err
	}
	if own != id {
		return &Error{Kind: KindPeer, Subject: string(own)}
	}
	return nil
}

// CheckTime says whether the certificate is valid at now, else KindExpired.
func (c Credentials) CheckTime(now time.Time) error {
	leaf := c.Cert.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return &Error{Kind: KindExpired, Subject: leaf.Subject.CommonName}
	}
	return nil
}

// Dialer returns the TLS settings to dial the given router: TLS 1.3, and any
// other peer than this router is KindChain, KindIdentity, KindRole or
// KindPeer.
func (c Credentials) Dialer(to msg.RouterID, protocol string) *tls.Config {
	config := c.base(protocol)
	// The peer is known by its URI, not by a host name. The chain is checked
	// by VerifyConnection, which also runs on resumed sessions.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		from, err := c.VerifyRouter(state, x509.ExtKeyUsageServerAuth)
		if err != nil {
			return err
		}
		if from != to {
			return &Error{Kind: KindPeer, Subject: string(from)}
		}
		return nil
	}
	return config
}

// AdminDialer returns the TLS settings to dial the admin API of the given
// router, or of any router of the fleet when to is empty: TLS 1.3, and another
// server is KindChain, KindIdentity, KindRole or KindPeer. Credentials without
// a certificate are those of a client that has a token.
func (c Credentials) AdminDialer(to msg.RouterID) *tls.Config {
	if to != "" {
		return c.Dialer(to, adminProtocol)
	}
	config := c.base(adminProtocol)
	config.InsecureSkipVerify = true // as in Dialer
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := c.VerifyRouter(state, x509.ExtKeyUsageServerAuth)
		return err
	}
	return config
}

// AdminListener returns the TLS settings of the admin API, TLS 1.3. A client
// may show a certificate; whose it is, is checked for each request by
// [Credentials.VerifyOperator], since a token will do instead.
func AdminListener(s Source) *tls.Config {
	return latest(func() *tls.Config {
		config := s.Current().base(adminProtocol)
		config.ClientAuth = tls.RequestClientCert
		return config
	})
}

// RouterListener returns the TLS settings to accept routers of the fleet,
// each connection by the credentials in force when it begins.
func RouterListener(s Source, protocol string) *tls.Config {
	return latest(func() *tls.Config { return s.Current().Listener(protocol) })
}

// latest returns a configuration that is made anew for each connection.
func latest(config func() *tls.Config) *tls.Config {
	first := config()
	first.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return config(), nil }
	return first
}

// Listener returns the TLS settings to accept routers of the fleet: TLS 1.3,
// and any other peer is KindChain, KindIdentity or KindRole.
func (c Credentials) Listener(protocol string) *tls.Config {
	config := c.base(protocol)
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := c.VerifyRouter(state, x509.ExtKeyUsageClientAuth)
		return err
	}
	return config
}

// base returns the TLS settings that all listeners and dialers share.
func (c Credentials) base(protocol string) *tls.Config {
	var certs []tls.Certificate
	if len(c.Cert.Certificate) > 0 {
		certs = append(certs, c.Cert)
	}
	return &tls.Config{
		Certificates:           certs,
		RootCAs:                c.CA,
		ClientCAs:              c.CA,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		SessionTicketsDisabled: true,
	}
}

// VerifyRouter checks that the fleet's CA issued the peer's certificate for
// this use and returns the router that it names.
func (c Credentials) VerifyRouter(state tls.ConnectionState, usage x509.ExtKeyUsage) (msg.RouterID, error) {
	leaf, err := c.verifyPeer(state, usage)
	if err != nil {
		return "", err
	}
	return RouterOf(leaf)
}

// VerifyOperator checks that the fleet's CA issued the client's certificate
// and that it is still valid, and returns the operator that it names. The
// error is KindChain, KindIdentity or KindRole.
func (c Credentials) VerifyOperator(state tls.ConnectionState) (string, error) {
	leaf, err := c.verifyPeer(state, x509.ExtKeyUsageClientAuth)
	if err != nil {
		return "", err
	}
	return OperatorOf(leaf)
}

func (c Credentials) verifyPeer(state tls.ConnectionState, usage x509.ExtKeyUsage) (*x509.Certificate, error) {
	if len(state.PeerCertificates) == 0 {
		return nil, &Error{Kind: KindChain, Subject: "no certificate"}
	}
	leaf := state.PeerCertificates[0]
	return leaf, c.verify(leaf, usage, time.Now())
}

func (c Credentials) verify(leaf *x509.Certificate, usage x509.ExtKeyUsage, now time.Time) error {
	options := x509.VerifyOptions{Roots: c.CA, KeyUsages: []x509.ExtKeyUsage{usage}, CurrentTime: now}
	if _, err := leaf.Verify(options); err != nil {
		return &Error{Kind: KindChain, Subject: leaf.Subject.CommonName, Err: err}
	}
	return nil
}
