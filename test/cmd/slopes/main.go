// Command slopes measures how the cost of each role grows, at three sizes or
// more, fits a line to each and works out from the lines what a router spends
// at the size to design for. It writes the tables between the markers of
// docs/CAPACITY.md. It is scaffolding: nothing of it runs in production.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Page string `long:"page" description:"page to write the tables into; empty prints them only"`
	Only string `long:"only" description:"measure this role only, and print"`

	Direct bool `long:"direct" description:"simulate the sharing of all 410 routers instead, to check the lines"`
}

// roles lists the measurements in the order of the page.
var roles = []struct {
	name    string
	measure func() ([]Slope, error)
}{
	{"entry", measureEntry},
	{"streams", measureStreams},
	{"admission", measureAdmission},
	{"counters", measureCounters},
	{"settings", measureSettings},
	{"claims", measureClaims},
	{"membership", measureMembers},
	{"link", measureLinks},
	{"polls", measurePolls},
	{"reports", measureReports},
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(exitFailed)
	}
}

func run(opts options) error {
	if opts.Direct {
		return direct(opts.Page)
	}
	began := time.Now()
	var all []Slope
	for _, r := range roles {
		if opts.Only != "" && opts.Only != r.name {
			continue
		}
		at := time.Now()
		list, err := r.measure()
		if err != nil {
			return err
		}
		for i := range list {
			list[i].Role = r.name
		}
		all = append(all, list...)
		fmt.Fprintf(os.Stderr, "%s measured in %s\n", r.name, time.Since(at).Round(100*time.Millisecond))
	}
	fmt.Print(slopeTable(all))
	if opts.Only != "" {
		return nil
	}
	design := designTable(all)
	fmt.Print("\n", design)
	fmt.Fprintf(os.Stderr, "all measured in %s\n", time.Since(began).Round(time.Second))
	if opts.Page == "" {
		return nil
	}
	tables := map[string]string{"slopes": slopeTable(all), "design": design, "parts": partsTable(largest)}
	return writePage(opts.Page, tables)
}

// direct simulates the whole fleet of the design and writes what it spends.
func direct(page string) error {
	c := newFleet(scaled(designRouters, designBacklogged)).measure(simWarm, simWindow, simWindows)
	table := directTable(c)
	fmt.Print(table)
	if page == "" {
		return nil
	}
	return writePage(page, map[string]string{"direct": table})
}
