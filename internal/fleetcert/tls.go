package fleetcert

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/windscale/windscale/internal/core/msg"
)

// Credentials is what a router needs to prove itself and to check others.
type Credentials struct {
	Cert tls.Certificate
	CA   *x509.CertPool
}

// Load reads a router's credentials from PEM files.
func Load(caFile, certFile, keyFile string) (Credentials, error) {
	pool, err := LoadPool(caFile)
	if err != nil {
		return Credentials{}, err
	}
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return Credentials{}, &Error{Kind: KindFile, Subject: certFile, Err: err}
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return Credentials{}, &Error{Kind: KindFile, Subject: keyFile, Err: err}
	}
	return NewCredentials(Pair{Cert: cert, Key: key}, pool)
}

// LoadPool reads the CA's certificate from a PEM file.
func LoadPool(caFile string) (*x509.CertPool, error) {
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, &Error{Kind: KindFile, Subject: caFile, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &Error{Kind: KindPEM, Subject: caFile}
	}
	return pool, nil
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

func (c Credentials) base(protocol string) *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{c.Cert},
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
	if len(state.PeerCertificates) == 0 {
		return "", &Error{Kind: KindChain, Subject: "no certificate"}
	}
	leaf := state.PeerCertificates[0]
	options := x509.VerifyOptions{Roots: c.CA, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := leaf.Verify(options); err != nil {
		return "", &Error{Kind: KindChain, Subject: leaf.Subject.CommonName, Err: err}
	}
	return RouterOf(leaf)
}
