// Command runbook runs every command of the runbook, docs/OPERATIONS.md, in the
// page's order against a fleet on loopback. It is test scaffolding. It exits
// with 0 if every command did, 1 if one did not, 2 on wrong usage.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/windscale/windscale/test/fleet"
)

const limit = time.Minute // of the whole command

const settings = `[service dispatch]
[tree]
models = *
services = *
[tree/operations]
`

type options struct {
	fleet.Folders
	Page string `long:"page" default:"docs/OPERATIONS.md" description:"the runbook"`
}

func main() {
	var o options
	fleet.Main("runbook", &o, limit, func(ctx context.Context) error { return run(ctx, o) })
}

func run(ctx context.Context, o options) error {
	page, err := os.ReadFile(o.Page)
	if err != nil {
		return err
	}
	c, err := o.Config("runbook")
	if err != nil {
		return err
	}
	c.Routers, c.DataCentres = 3, 3
	c.Settings = settings
	c.Customers = []fleet.Customer{{Path: "operations/prober"}}
	c.Servers = []fleet.Server{{ID: "d1", DataCentre: "dc1", Kind: "service", Args: []string{"--name", "dispatch"}}}
	f, err := fleet.Up(ctx, c)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := edit(filepath.Join(f.Dir, "settings.ini")); err != nil {
		return err
	}
	list := commands(string(page))
	for _, line := range list {
		if err := command(ctx, f, line); err != nil {
			return err
		}
	}
	fmt.Printf("%d commands of %s ran and exited with 0\n", len(list), o.Page)
	return nil
}

// edit changes the settings' text, so that there is something to apply.
func edit(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, "queue_len = 7\n"...), 0o600)
}

// commands returns the lines of the page's sh blocks.
func commands(page string) (list []string) {
	within := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case line == "```sh":
			within = true
		case line == "```":
			within = false
		case within:
			list = append(list, line)
		}
	}
	return list
}

// CommandError is a command of the page that did not exit with 0.
type CommandError struct {
	Line   string
	Output string
	Err    error
}

// Error implements error.
func (e *CommandError) Error() string { return e.Line + ": " + e.Err.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

// command runs one line as an operator would, in the fleet's folder.
func command(ctx context.Context, f *fleet.Fleet, line string) error {
	cmd := exec.CommandContext(ctx, "sh", "-c", line)
	cmd.Dir = f.Dir
	cmd.Env = append(os.Environ(),
		"PATH="+f.Bin+":"+os.Getenv("PATH"),
		"WINDSCALE_PLATFORM="+f.URL,
		"WINDSCALE_ADMIN_TOKEN_FILE=admin.token")
	var out bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &out
	if err := cmd.Run(); err != nil {
		return &CommandError{Line: line, Output: out.String(), Err: err}
	}
	fmt.Println("ok", line)
	return nil
}
