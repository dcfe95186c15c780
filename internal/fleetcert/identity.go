// Package fleetcert makes and checks the certificates of the fleet's own
// certificate authority (CA). A certificate carries one identity, a URI such
// as "windscale://router/r1" or "windscale://operator/ana". Routers prove
// theirs to each other on the link, operators theirs to the admin API.
//
// The functions have no state and may be called from any goroutine.
package fleetcert

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"

	"github.com/windscale/windscale/internal/core/msg"
)

// Role says what a certificate's holder is.
type Role string

// The roles.
const (
	RoleRouter   Role = "router"
	RoleOperator Role = "operator"
)

const scheme = "windscale"

var nameRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Identity is what a certificate proves about its holder.
type Identity struct {
	Role Role
	Name string // a router's ID or an operator's name
}

// String returns the identity's URI.
func (i Identity) String() string { return i.uri().String() }

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(i.Role), Path: "/" + i.Name}
}

func (i Identity) check() error {
	if !nameRule.MatchString(i.Name) {
		return &Error{Kind: KindName, Subject: i.Name}
	}
	return nil
}

// IdentityOf reads the identity of a certificate. It does not check who
// issued it. A certificate with none, several or a malformed one is
// KindIdentity.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	if len(cert.URIs) != 1 {
		return Identity{}, &Error{Kind: KindIdentity, Subject: cert.Subject.CommonName}
	}
	u := cert.URIs[0]
	name, rooted := strings.CutPrefix(u.Path, "/")
	id := Identity{Role: Role(u.Host), Name: name}
	known := id.Role == RoleRouter || id.Role == RoleOperator
	// Comparing the whole text refuses user info, queries and escapes.
	if !rooted || !known || id.check() != nil || id.String() != u.String() {
		return Identity{}, &Error{Kind: KindIdentity, Subject: u.String()}
	}
	return id, nil
}

// RouterOf returns the ID of the router that the certificate names, or
// KindIdentity or KindRole. It does not check who issued the certificate.
func RouterOf(cert *x509.Certificate) (msg.RouterID, error) {
	name, err := nameOf(cert, RoleRouter)
	return msg.RouterID(name), err
}

// OperatorOf returns the name of the operator that the certificate names, or
// KindIdentity or KindRole. It does not check who issued the certificate.
func OperatorOf(cert *x509.Certificate) (string, error) {
	return nameOf(cert, RoleOperator)
}

func nameOf(cert *x509.Certificate, role Role) (string, error) {
	id, err := IdentityOf(cert)
	if err != nil {
		return "", err
	}
	if id.Role != role {
		return "", &Error{Kind: KindRole, Subject: id.String()}
	}
	return id.Name, nil
}
