package node

import "time"

// next waits for the next connection. While the host refuses, connections wait for a moment
// until their requests have arrived.
func (l *connLimiter) next() (arrival, error) {
	for {
		if len(l.waiting) == 0 {
			l.pace = pace{}
			c, err := l.Listener.Accept()
			if err != nil {
				return nil, err
			}
			if !l.refusing() {
				return known{c}, nil
			}
			l.waiting = append(l.waiting, waiting{known{c}, time.Now()})
		}
		l.takeIn()
		first := l.waiting[0]
		if left := arrivesWithin - time.Since(first.since); left > 0 && l.refusing() {
			time.Sleep(left)
			continue
		}
		l.waiting = l.waiting[1:]
		l.pace.next()
		return first.arrival, nil
	}
}

// takeIn accepts the connections that wait to be, as far as there is room for them here.
func (l *connLimiter) takeIn() {
	for l.raw != nil && len(l.waiting) < waitingMost {
		b := acceptRaw(l.raw)
		if b == nil {
			return
		}
		l.waiting = append(l.waiting, waiting{b, time.Now()})
	}
}

// end closes what still waits when the listener has ended.
func (l *connLimiter) end() {
	for _, w := range l.waiting {
		_ = w.Close() // nothing was read of it
	}
	l.waiting = nil
}

// waiting is a connection whose request may be on its way.
type waiting struct {
	arrival
	since time.Time
}

const (
	// arrivesWithin is how long after its connection a request is looked for: a caller sends it
	// as soon as it hears that the connection is there, a millisecond or two away.
	arrivesWithin = 5 * time.Millisecond
	// waitingMost bounds the connections that wait so, by descriptors.
	waitingMost = 256
	// paceBatch is how many connections are looked at in one go while others wait: some 2 ms
	// of a processor of a fifth of a core.
	paceBatch = 16
)

// pace keeps half of the processor from who looks at connections that never end: what is read
// from other connections waits behind such a loop. Connections beyond it wait in the system's
// queue and, when that is full, find no connection, which costs this host nothing.
type pace struct {
	looked int
	began  time.Time
}

// next is called before each connection; it sleeps for as long as the last ones took.
func (p *pace) next() {
	switch {
	case p.looked == 0:
		p.began = time.Now()
	case p.looked%paceBatch == 0:
		time.Sleep(time.Since(p.began))
		p.began = time.Now()
	}
	p.looked++
}
