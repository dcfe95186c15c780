package ctl

import (
	"io"
	"os"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/settingsstore"
)

// fileArg is the positional argument FILE.
type fileArg struct {
	File string `positional-arg-name:"FILE" description:"settings in INI"`
}

// read returns the file's text, cut just above the largest that is accepted.
func (f fileArg) read() ([]byte, error) {
	file, err := os.Open(f.File)
	if err != nil {
		return nil, &InputError{Err: err}
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, settings.MaxSource+1))
	if err != nil {
		return nil, &InputError{Err: err}
	}
	return text, nil
}

// build reads and checks the file.
func (f fileArg) build(version uint64) (*settings.Snapshot, error) {
	text, err := f.read()
	if err != nil {
		return nil, err
	}
	snap, faults := settings.Build(version, text)
	if len(faults) > 0 {
		return nil, &settingsstore.InvalidError{Faults: faults}
	}
	return snap, nil
}
