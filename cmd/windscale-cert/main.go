// Command windscale-cert makes the fleet's certificate authority and the
// certificates of routers and operators.
//
// Exit codes: 0 done, 1 the operation failed, 2 wrong usage.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/internal/version"
)

const (
	caCertName = "ca.pem"
	caKeyName  = "ca-key.pem"

	certMode = 0o644
	keyMode  = 0o600
	dirMode  = 0o755
)

const examples = `Make the fleet's own CA and issue certificates by it.

Examples:
  windscale-cert ca --out tls
  windscale-cert router --ca tls --id r1 --ip 10.0.0.1 --out tls
  windscale-cert router --ca tls --id r2 --ip 10.0.0.2 --ip fd00::2 --out tls
  windscale-cert operator --ca tls --name ana --out tls

To replace the CA, make the next one in a directory of its own, trust both
(cat tls/ca.pem next/ca.pem) on every router, issue by the next, then trust
only the next:
  windscale-cert ca --out next
  windscale-cert router --ca next --id r1 --ip 10.0.0.1 --out next

Routers take new files in force by themselves within some seconds; see
docs/OPERATIONS.md.

Exit codes: 0 done, 1 the operation failed, 2 wrong usage.`

type options struct {
	Version  bool            `long:"version" description:"print the version and exit"`
	CA       caCommand       `command:"ca" description:"make a CA: ca.pem and ca-key.pem"`
	Router   routerCommand   `command:"router" description:"issue a router's certificate: ID.pem and ID-key.pem"`
	Operator operatorCommand `command:"operator" description:"issue an operator's certificate: NAME.pem and NAME-key.pem"`
}

type caCommand struct {
	Out string `long:"out" required:"true" value-name:"DIR" description:"directory to write to; a CA in it is never overwritten"`
}

type routerCommand struct {
	CA  string   `long:"ca" required:"true" value-name:"DIR" description:"directory of the CA"`
	ID  string   `long:"id" required:"true" description:"the router's host ID"`
	IPs []string `long:"ip" required:"true" description:"an IP number of the router; may be repeated"`
	Out string   `long:"out" required:"true" value-name:"DIR" description:"directory to write to"`
}

type operatorCommand struct {
	CA   string `long:"ca" required:"true" value-name:"DIR" description:"directory of the CA"`
	Name string `long:"name" required:"true" description:"the operator's name"`
	Out  string `long:"out" required:"true" value-name:"DIR" description:"directory to write to"`
}

// Execute makes a CA. It is called by go-flags.
func (c *caCommand) Execute([]string) error {
	authority, err := fleetcert.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	// The key goes first: O_EXCL refuses to overwrite an existing CA.
	if err := write(c.Out, caKeyName, authority.Pair().Key, keyMode, os.O_EXCL); err != nil {
		return err
	}
	return write(c.Out, caCertName, authority.Pair().Cert, certMode, os.O_EXCL)
}

// Execute issues a router's certificate. It is called by go-flags.
func (c *routerCommand) Execute([]string) error {
	var ips []net.IP
	for _, text := range c.IPs {
		ip := net.ParseIP(text)
		if ip == nil {
			return &cli.UsageError{What: "--ip: not an IP number: " + text}
		}
		ips = append(ips, ip)
	}
	authority, err := loadCA(c.CA)
	if err != nil {
		return err
	}
	pair, err := authority.Router(msg.RouterID(c.ID), ips, time.Now())
	if err != nil {
		return err
	}
	return writePair(c.Out, c.ID, pair)
}

// Execute issues an operator's certificate. It is called by go-flags.
func (c *operatorCommand) Execute([]string) error {
	authority, err := loadCA(c.CA)
	if err != nil {
		return err
	}
	pair, err := authority.Operator(c.Name, time.Now())
	if err != nil {
		return err
	}
	return writePair(c.Out, c.Name, pair)
}

func loadCA(dir string) (*fleetcert.Authority, error) {
	cert, err := read(dir, caCertName)
	if err != nil {
		return nil, err
	}
	key, err := read(dir, caKeyName)
	if err != nil {
		return nil, err
	}
	return fleetcert.ParseAuthority(fleetcert.Pair{Cert: cert, Key: key})
}

func read(dir, name string) ([]byte, error) {
	path := filepath.Join(dir, name)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &fleetcert.Error{Kind: fleetcert.KindFile, Subject: path, Err: err}
	}
	return text, nil
}

func writePair(dir, name string, pair fleetcert.Pair) error {
	if err := write(dir, name+"-key.pem", pair.Key, keyMode, os.O_TRUNC); err != nil {
		return err
	}
	return write(dir, name+".pem", pair.Cert, certMode, os.O_TRUNC)
}

// write makes the file DIR/NAME, and the directory if need be; flag says what
// becomes of one that is there.
func write(dir, name string, text []byte, mode os.FileMode, flag int) error {
	path := filepath.Join(dir, name)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &fleetcert.Error{Kind: fleetcert.KindFile, Subject: dir, Err: err}
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|flag, mode)
	if err != nil {
		return &fleetcert.Error{Kind: fleetcert.KindFile, Subject: path, Err: err}
	}
	_, err = file.Write(text)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &fleetcert.Error{Kind: fleetcert.KindFile, Subject: path, Err: err}
	}
	return nil
}

func main() { os.Exit(run(os.Args[1:])) }

// run does one command and returns the exit code.
func run(args []string) int {
	var opts options
	parser := cli.NewParser(&opts, examples)
	parser.SubcommandsOptional = true
	_, err := parser.ParseArgs(args)
	if err == nil && opts.Version {
		fmt.Println("windscale-cert", version.String())
		return cli.ExitOK
	}
	if err == nil && parser.Active == nil {
		err = &cli.UsageError{What: "a command is required; see --help"}
	}
	return cli.Report("windscale-cert", err, os.Stdout, os.Stderr)
}
