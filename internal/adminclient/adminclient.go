// Package adminclient is how the operators' programs reach the routers' admin
// listeners: the flags that they share, the token or certificate that they
// show, and the check that a server is the router that was meant.
package adminclient

import (
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
)

// Options are the flags, for go-flags.
type Options struct {
	TokenFile string `long:"admin-token-file" env:"WINDSCALE_ADMIN_TOKEN_FILE" value-name:"FILE" description:"holds the token of the routers' admin listeners"`
	CA        string `long:"ca" env:"WINDSCALE_ADMIN_CA" value-name:"FILE" description:"the fleet's CA certificates; the routers are asked by HTTPS, and each must prove its ID"`
	Cert      string `long:"cert" env:"WINDSCALE_ADMIN_CERT" value-name:"FILE" description:"an operator's certificate, in place of the token; needs --ca"`
	Key       string `long:"key" env:"WINDSCALE_ADMIN_KEY" value-name:"FILE" description:"the key of --cert"`
}

// OptionsError says what is wrong with the flags or the files they name.
type OptionsError struct {
	What string
	Err  error // the cause, may be nil
}

// Error implements error.
func (e *OptionsError) Error() string {
	if e.Err == nil {
		return e.What
	}
	return e.What + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OptionsError) Unwrap() error { return e.Err }

// Client reaches the admin listeners. Any goroutine may use it.
type Client struct {
	token string
	cred  fleetcert.Credentials // CA nil: plain HTTP

	mu      sync.Mutex
	clients map[msg.RouterID]*http.Client
}

// New reads the files that the flags name. The error is *OptionsError.
func New(o Options) (*Client, error) {
	c := &Client{clients: map[msg.RouterID]*http.Client{}}
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.TokenFile != "" {
		text, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, &OptionsError{What: "--admin-token-file", Err: err}
		}
		c.token = strings.TrimSpace(string(text))
	}
	var err error
	c.cred, err = o.credentials()
	return c, err
}

func (o Options) check() error {
	switch {
	case (o.Cert == "") != (o.Key == ""):
		return &OptionsError{What: "--cert and --key are needed together"}
	case o.Cert != "" && o.CA == "":
		return &OptionsError{What: "--cert needs --ca"}
	case o.Cert == "" && o.TokenFile == "":
		return &OptionsError{What: "--admin-token-file is needed, or --ca, --cert and --key"}
	}
	return nil
}

// credentials are empty without --ca, and without a certificate when only the
// token is shown.
func (o Options) credentials() (fleetcert.Credentials, error) {
	if o.CA == "" {
		return fleetcert.Credentials{}, nil
	}
	if o.Cert == "" {
		pool, err := fleetcert.LoadPool(o.CA)
		if err != nil {
			return fleetcert.Credentials{}, &OptionsError{What: "--ca", Err: err}
		}
		return fleetcert.Credentials{CA: pool}, nil
	}
	cred, err := fleetcert.Load(o.CA, o.Cert, o.Key)
	if err != nil {
		return fleetcert.Credentials{}, &OptionsError{What: "--ca, --cert, --key", Err: err}
	}
	if _, err := fleetcert.OperatorOf(cred.Cert.Leaf); err != nil {
		return fleetcert.Credentials{}, &OptionsError{What: "--cert", Err: err}
	}
	return cred, nil
}

// Token returns the operators' token, empty when there is none.
func (c *Client) Token() string { return c.token }

// Secure says whether the routers are asked by HTTPS.
func (c *Client) Secure() bool { return c.cred.CA != nil }

// Scheme returns "https" or "http".
func (c *Client) Scheme() string {
	if c.Secure() {
		return "https"
	}
	return "http"
}

// HTTP returns the client for one router. Over HTTPS the server must be this
// router, or any of the fleet when id is empty; another is an error of
// fleetcert.
func (c *Client) HTTP(id msg.RouterID) *http.Client {
	if !c.Secure() {
		return http.DefaultClient
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[id]
	if !ok {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.TLSClientConfig = c.cred.AdminDialer(id)
		transport.ForceAttemptHTTP2 = false
		client = &http.Client{Transport: transport}
		c.clients[id] = client
	}
	return client
}

// Authorize puts the token, if there is one, on a request.
func (c *Client) Authorize(req *http.Request) {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
}
