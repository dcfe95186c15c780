// Command review-stage plays the cases of the review that are scripts: it starts the routers of a small
// deployment as processes, beside stand-ins of the platform's store, of backend servers and of clients,
// and writes down what was sent, answered and run.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(st *stage, trouble bool) (broken bool, err error){
	"extra": playExtra,
	"junk":  playJunk,

	"unframed": playUnframed,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption too")
	router := flag.String("router", "target/windscale-edge", "the program of the deploy file")
	serve := flag.String("serve", "", "be a backend server with this ID, whose answers end with their connections")
	addr := flag.String("addr", "", "the address of that server")
	flag.Parse()
	if *serve != "" {
		return serveUnframed(*serve, *addr)
	}
	f, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitCouldNotRun
	}
	st, err := newStage(*router, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer st.close()
	st.note("case %s, trouble %v, %s", *name, *trouble, time.Now().UTC().Format(time.RFC3339))
	broken, err := f(st, *trouble)
	switch {
	case err != nil:
		st.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	case broken:
		st.note("result: BROKEN")
		return exitBroken
	}
	st.note("result: held")
	return exitHeld
}
