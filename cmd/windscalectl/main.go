// Command windscalectl is for operators: it changes the settings of a fleet
// of routers, shows its state and drains routers.
//
// Exit codes: 0 done, 1 the operation failed, 2 wrong usage or input.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/windscale/windscale/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
