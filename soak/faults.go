package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

// fault is one fault of a schedule.
type fault struct {
	Kind string
	At   time.Duration // from the begin of the faults
	For  time.Duration
	Who  int // which router or server, modulo their number
	How  int
}

// String tells a fault in a report.
func (f fault) String() string {
	return fmt.Sprintf("%s at %s for %s (who %d, how %d)", f.Kind, f.At.Round(time.Millisecond), f.For.Round(time.Millisecond), f.Who, f.How)
}

// kinds are the faults that a schedule is drawn from.
var kinds = map[string]func(*fleet, fault){
	"kill":    (*fleet).kill,
	"killall": (*fleet).killAll,
	"stop":    (*fleet).stopRouter,
	"pause":   (*fleet).pause,
	"starve":  (*fleet).starve,
	"flood":   (*fleet).flood,
	"store":   (*fleet).storeTrouble,
	"lapse":   (*fleet).storeLapse,
	"slow":    (*fleet).storeSlow,
	"forget":  (*fleet).storeForgets,
	"older":   (*fleet).storeOlder,
	"stale":   (*fleet).storeStale,
	"cut":     (*fleet).cut,
	"mute":    (*fleet).mute,
	"dumb":    (*fleet).dumb,
	"grey":    (*fleet).grey,
	"link":    (*fleet).link,
	"crash":   (*fleet).crash,
	"reborn":  (*fleet).reborn,
	"poison":  (*fleet).poison,
	"foreign": (*fleet).foreignEntries,
	"drain":   (*fleet).drain,
	"config":  (*fleet).change,
	"grow":    (*fleet).grow,
	"reload":  (*fleet).reload,

	"leave":  (*fleet).leave,
	"recall": (*fleet).cancelShutdown,
	"shed":   (*fleet).shed,

	"evacuate": (*fleet).evacuate,
	"cold":     (*fleet).turnCold,
}

// calm reports whether no fault of the list may break an answer off: stops,
// reloads, configurations, servers that leave and the store must not.
func calm(list []fault) bool {
	for _, x := range list {
		switch x.Kind {
		case "stop", "reload", "config", "grow", "drain", "leave", "recall", "store", "lapse", "slow", "forget", "older", "stale", "cut", "mute":
		default:
			return false
		}
	}
	return true
}

// kindNames returns the names in order.
func kindNames() []string {
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// schedule draws n faults over a span, in series and overlapping.
func schedule(seed uint64, names []string, n int, span time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []fault
	for range n {
		list = append(list, fault{
			Kind: names[rng.IntN(len(names))],
			At:   time.Duration(rng.Int64N(int64(span))),
			For:  200*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second))),
			Who:  rng.IntN(64),
			How:  rng.IntN(64),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}

// play plays a schedule and returns when every fault has ended.
func (f *fleet) play(list []fault) {
	begin := time.Now()
	var wg sync.WaitGroup
	var one sync.Mutex // faults of processes come one after the other
	for _, x := range list {
		time.Sleep(time.Until(begin.Add(x.At)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			switch x.Kind {
			case "kill", "killall", "stop", "pause", "starve", schedulerKind:
				one.Lock()
				defer one.Unlock()
			}
			switch x.Kind {
			case schedulerKind:
				f.loseScheduler(x)
			case truncateKind:
				f.truncate(x)
			case endlessKind:
				f.sendEndless(x)
			case malformedKind:
				f.sendMalformed(x)
			default:
				kinds[x.Kind](f, x)
			}
		}()
	}
	wg.Wait()
}

func (f *fleet) router(x fault) *router { return f.routers[x.Who%len(f.routers)] }

// kill kills a router and starts it again.
func (f *fleet) kill(x fault) {
	r := f.router(x)
	f.signal(r, syscall.SIGKILL)
	f.restart(r, x.For)
}

func (f *fleet) restart(r *router, after time.Duration) {
	if !f.gone(r, stopLimit) {
		f.verdicts.report(noUnaskedExit, "%s did not end", r.name)
		return
	}
	time.Sleep(after)
	if err := f.start(r); err != nil {
		f.verdicts.report(noUnaskedExit, "%s does not start: %v", r.name, err)
	}
}

// killAll kills every router at once.
func (f *fleet) killAll(x fault) {
	for _, r := range f.routers {
		f.signal(r, syscall.SIGKILL)
	}
	for _, r := range f.routers {
		f.restart(r, 0)
	}
	time.Sleep(x.For)
}

// stopRouter ends a router by SIGTERM and starts it again.
func (f *fleet) stopRouter(x fault) {
	r := f.router(x)
	f.signal(r, syscall.SIGTERM)
	f.restart(r, x.For/4)
}

// pause freezes a router.
func (f *fleet) pause(x fault) { f.freeze(f.router(x), x.For) }

// freeze stops a router's process for a while.
func (f *fleet) freeze(r *router, d time.Duration) {
	f.signal(r, syscall.SIGSTOP)
	time.Sleep(d)
	f.signal(r, syscall.SIGCONT)
}

// storeTrouble makes the store fail, for all routers or for one.
func (f *fleet) storeTrouble(x fault) {
	trouble := platformtest.StoreFault(x.How%4) + platformtest.StoreUnavailable
	defer f.trouble()()
	f.store.SetFault(func(*http.Request) platformtest.StoreFault { return trouble })
	time.Sleep(x.For)
	f.store.SetFault(nil)
}

// storeLapse makes the store fail while all servers' entries lapse. They are
// there again when it is back: its feed tells both changes in one answer.
func (f *fleet) storeLapse(x fault) {
	defer f.trouble()()
	f.store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreUnavailable })
	f.entries(func(s *server) { f.store.RemoveServer(s.ID) })
	time.Sleep(x.For)
	f.entries(func(s *server) { f.store.PutServer(s.Server, s.state()) })
	f.store.SetFault(nil)
}

// entries changes the entry of each server that has not left. The lock keeps a
// server from leaving meanwhile.
func (f *fleet) entries(change func(*server)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.left.IsZero() {
			change(s)
		}
	}
}

// trouble notes that the store fails from now on until the returned function
// is called.
func (f *fleet) trouble() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.troubles)
	f.troubles = append(f.troubles, span{from: time.Now(), to: time.Now().Add(time.Hour)})
	f.troubled = time.Now().Add(time.Hour)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.troubles[i].to = time.Now()
		f.troubled = time.Now()
	}
}

func (f *fleet) storeSlow(x fault) {
	defer f.trouble()()
	f.store.SetDelay(time.Duration(50+x.How*4) * time.Millisecond)
	time.Sleep(x.For)
	f.store.SetDelay(0)
}

func (f *fleet) storeForgets(fault) {
	defer f.trouble()()
	f.store.DropHistory()
}

// storeOlder has the store come back from a copy as old as the fault is long. What was
// written since is gone, and is written again some moments later; then a change is seen as
// soon as on a healthy store, and nothing has gone back.
func (f *fleet) storeOlder(x fault) {
	older := f.store.Snapshot()
	time.Sleep(x.For)
	back := f.trouble()
	f.store.Restore(older)
	const step = 20 * time.Millisecond // up to 1.3 s
	time.Sleep(time.Duration(x.How) * step)
	f.writeAgain()
	back()
	f.checkInForce(f.configure())
}

// writeAgain has the operator and the servers write again what they wrote last.
func (f *fleet) writeAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.left.IsZero() {
			f.store.PutServer(s.Server, s.state())
		} else {
			f.store.RemoveServer(s.ID)
		}
	}
	f.store.PutConfig(f.config)
}

// storeStale makes the routers read anew and tells them what was before.
func (f *fleet) storeStale(x fault) {
	version := f.configure()
	f.checkInForce(version)
	defer f.trouble()()
	f.store.SetStale(true)
	f.store.DropHistory()
	for end := time.Now().Add(x.For); time.Now().Before(end); {
		for _, r := range f.routers {
			f.checkStays(r, version)
		}
	}
	f.store.SetStale(false)
}

// cut harms one router's way to the store, both ways or one.
func (f *fleet) cut(x fault) {
	defer f.trouble()()
	r := f.router(x)
	r.store.set(mode(x.How%int(oneWay)) + 1)
	time.Sleep(x.For)
	r.store.set(pass)
}

// heardWithin is how long after its connections to the store have gone silent a router may be
// deaf: a call waits for two seconds, and 0.8 s for its answer.
const heardWithin = 3 * time.Second

// mute has all connections to the store go silent for good while new ones work. A change
// that is made once that must have been noticed is in force as soon as ever.
func (f *fleet) mute(fault) {
	for _, r := range f.routers {
		r.store.mute()
	}
	back := f.trouble()
	time.Sleep(heardWithin)
	back()
	time.Sleep(applyBound) // until then what is late is excused
	f.checkInForce(f.configure())
}

// dumb has all connections to a server go silent for good while new ones work.
func (f *fleet) dumb(x fault) {
	if s := f.pickServer(x); s != nil {
		defer f.recordLinkFault(s)()
		s.proxy.mute()
	}
}

// grey makes a server fail part of its requests.
func (f *fleet) grey(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	how := platformtest.Fault(x.How%int(platformtest.CloseDelimited)) + 1
	s.SetFault(func(attempt string) platformtest.Fault {
		if len(attempt) > 0 && attempt[len(attempt)-1]%2 == 0 {
			return how
		}
		return platformtest.NoFault
	})
	time.Sleep(x.For)
	s.SetFault(nil)
}

// link harms the connections of a server.
func (f *fleet) link(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	defer f.recordLinkFault(s)()
	s.proxy.set(mode(x.How%int(oneWay)) + 1)
	time.Sleep(x.For)
	s.proxy.set(pass)
}

// pickServer returns a server whose service has others.
func (f *fleet) pickServer(x fault) *server {
	service := "llm"
	if x.How%2 == 0 {
		service = "app"
	}
	list := f.live(service)
	if len(list) < 2 {
		return nil
	}
	return list[x.Who%len(list)]
}

// crash ends a server without a report; another comes, and its entry lapses.
func (f *fleet) crash(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	s.proxy.close()
	s.Close()
	f.replace(s)
	time.Sleep(x.For)
	f.store.RemoveServer(s.ID)
}

// replace starts a server in the place of one that leaves.
func (f *fleet) replace(s *server) {
	f.mu.Lock()
	s.left = time.Now()
	f.mu.Unlock()
	if _, err := f.addServer(s.Service); err != nil {
		f.verdicts.report(noUnaskedExit, "server does not start: %v", err)
	}
}

// drain makes a server leave by notice or by removal.
func (f *fleet) drain(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	f.replace(s)
	if x.How%4 < 2 {
		f.store.PutServer(s.Server, "draining")
	} else {
		f.store.RemoveServer(s.ID)
	}
}

// change writes a configuration and follows it until it is in force.
func (f *fleet) change(fault) {
	f.checkInForce(f.configure())
}

// extraRoutes is how many routes a configuration grows by: the largest growth
// that was asked for.
const extraRoutes = 1400

// grow writes a configuration with many more routes, follows it until it is in
// force, and takes them away again.
func (f *fleet) grow(x fault) {
	f.setExtra(extraRoutes)
	f.checkInForce(f.configure())
	time.Sleep(x.For)
	f.setExtra(0)
	f.checkInForce(f.configure())
}

func (f *fleet) setExtra(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extra = n
}

// reload makes a router read its settings again.
func (f *fleet) reload(x fault) { f.signal(f.router(x), syscall.SIGHUP) }
