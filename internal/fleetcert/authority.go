package fleetcert

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

const (
	caLifetime   = 10 * 365 * 24 * time.Hour
	leafLifetime = 2 * 365 * 24 * time.Hour
	clockSkew    = time.Hour // a certificate is valid from this long before it was made
	serialBits   = 127

	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Pair is a certificate with its private key, both in PEM.
type Pair struct {
	Cert []byte
	Key  []byte // PKCS #8; secret
}

// Authority is the fleet's CA, able to issue certificates.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
	pair Pair
}

// NewAuthority makes a CA with a fresh ECDSA P-256 key, valid from now.
func NewAuthority(now time.Time) (*Authority, error) {
	template, err := newTemplate("windscale fleet CA", now, caLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority reads a CA that [Authority.Pair] gave.
func ParseAuthority(pair Pair) (*Authority, error) {
	cert, err := parseCert(pair.Cert)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(pair.Key)
	if block == nil {
		return nil, &Error{Kind: KindPEM, Subject: "CA key"}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, &Error{Kind: KindPEM, Subject: "CA key", Err: err}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(cert.PublicKey) || !cert.IsCA {
		return nil, &Error{Kind: KindPEM, Subject: "CA certificate and key do not match"}
	}
	return &Authority{cert: cert, key: key, pair: pair}, nil
}

// Pair returns the CA's certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Pool returns a pool that trusts this CA alone.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Router issues a router's certificate, for serving and for dialling. The IP
// numbers are for clients of its admin API that check the address.
func (a *Authority) Router(id msg.RouterID, ips []net.IP, now time.Time) (Pair, error) {
	who := Identity{Role: RoleRouter, Name: string(id)}
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.issue(who, ips, usage, now)
}

// Operator issues an operator's certificate, which can only be a client's.
func (a *Authority) Operator(name string, now time.Time) (Pair, error) {
	who := Identity{Role: RoleOperator, Name: name}
	return a.issue(who, nil, []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}, now)
}

// issue makes a key and signs its certificate. The error is KindName or
// KindGenerate.
func (a *Authority) issue(who Identity, ips []net.IP, usage []x509.ExtKeyUsage, now time.Time) (Pair, error) {
	if err := who.check(); err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(who.Name, now, leafLifetime)
	if err != nil {
		return Pair{}, err
	}
	template.URIs = []*url.URL{who.uri()}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = usage
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	return sign(template, a.cert, key, a.key)
}

// newTemplate returns what all certificates have, with a random serial
// number.
func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, &Error{Kind: KindGenerate, Subject: name, Err: err}
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{Kind: KindGenerate, Subject: "key", Err: err}
	}
	return key, nil
}

// sign issues template for the holder of key, by the parent's signer.
func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer crypto.Signer) (Pair, error) {
	name := template.Subject.CommonName
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, &Error{Kind: KindGenerate, Subject: name, Err: err}
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, &Error{Kind: KindGenerate, Subject: name, Err: err}
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: secret}),
	}, nil
}

func parseCert(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemCertificate {
		return nil, &Error{Kind: KindPEM, Subject: "certificate"}
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, &Error{Kind: KindPEM, Subject: "certificate", Err: err}
	}
	return cert, nil
}
