package main

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/fleetcert"
)

func TestCommands(t *testing.T) {
	dir := t.TempDir()
	assert.Equal(t, run([]string{"ca", "--out", dir}), cli.ExitOK)
	assert.Equal(t, run([]string{"ca", "--out", dir}), cli.ExitFailed) // never overwritten
	assert.Equal(t, run([]string{"router", "--ca", dir, "--id", "r1", "--ip", "127.0.0.1", "--out", dir}), cli.ExitOK)
	assert.Equal(t, run([]string{"router", "--ca", dir, "--id", "r1", "--ip", "host", "--out", dir}), cli.ExitUsage)
	assert.Equal(t, run([]string{"router", "--ca", dir, "--id", "a/b", "--ip", "::1", "--out", dir}), cli.ExitFailed)
	assert.Equal(t, run([]string{"operator", "--ca", dir, "--name", "ana", "--out", dir}), cli.ExitOK)
	assert.Equal(t, run([]string{"operator", "--ca", dir, "--name", "bo", "--out", dir, "extra"}), cli.ExitUsage)
	assert.Equal(t, run(nil), cli.ExitUsage)
	assert.Equal(t, run([]string{"--version"}), cli.ExitOK)
	assert.Equal(t, run([]string{"--help"}), cli.ExitOK)

	path := func(name string) string { return filepath.Join(dir, name) }
	c, err := fleetcert.Load(path("ca.pem"), path("r1.pem"), path("r1-key.pem"))
	assert.NilError(t, err)
	id, err := c.Router()
	assert.NilError(t, err)
	assert.Equal(t, string(id), "r1")
}
