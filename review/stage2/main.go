// Command stage2 plays the scripted cases of review/REPORT-2.md: it starts the routers' processes with the
// command of the deploy file, beside stand-ins of the platform's store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the scripted cases by name.
var cases = map[string]func(f *fleet, trouble bool) int{
	"own503": own503,
	"parts":  parts,
	"reborn": reborn,
}

func main() { os.Exit(play()) }

// play plays the case of the first argument and records it in the file of the second one.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD")
		return cannotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{begin: time.Now(), file: file}
	rec.add("case %s, trouble %t, %s", os.Args[1], trouble, rec.begin.UTC().Format(time.RFC3339))
	f, err := newFleet(dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.stop()
	code := cases[os.Args[1]](f, trouble)
	rec.add("exit code %d", code)
	return code
}
