package fleet

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/windscale/windscale/internal/cli"
)

// Folders are the flags of every command that runs a fleet, for go-flags.
type Folders struct {
	Bin string `long:"bin" default:"bin" description:"folder of the programs"`
	Out string `long:"out" default:"out" description:"folder for the working folders and the results"`
}

// Config returns the configuration of a fleet whose working folder is OUT/NAME;
// what it consists of is for the caller to fill in.
func (f Folders) Config(name string) (Config, error) {
	bin, err := filepath.Abs(f.Bin)
	if err != nil {
		return Config{}, err
	}
	dir, err := filepath.Abs(filepath.Join(f.Out, name))
	return Config{Bin: bin, Dir: dir}, err
}

// Main is the main function of a command without subcommands: it reads the
// flags into opts, runs it within the limit and ends the process, with 0 if all
// was as it must be, 1 if anything was not, 2 on wrong usage.
func Main(name string, opts any, limit time.Duration, run func(context.Context) error) {
	_, err := cli.NewParser(opts, "").Parse()
	if err == nil {
		err = within(limit, run)
	}
	os.Exit(cli.Report(name, err, os.Stdout, os.Stderr))
}

func within(limit time.Duration, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx); err != nil {
		return fail(err, "FAILED")
	}
	return nil
}
