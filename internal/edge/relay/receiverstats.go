package relay

import "sync/atomic"

// receiverStats are the counters of a receiver.
type receiverStats struct {
	streams, open, overruns  atomic.Int64
	bytesReceived, bytesSent atomic.Int64
}

// ReceiverStats are counts since the start, and the current numbers of tunnels and streams.
type ReceiverStats struct {
	Tunnels       int   // open
	Streams       int64 // since the start
	OpenStreams   int64
	Overruns      int64 // streams reset since too many of their bytes were unread
	BytesReceived int64 // of callers
	BytesSent     int64 // of answers
	UnusedCredit  int   // streams that other hosts may open
}

// Stats returns the current counts.
func (r *Receiver) Stats() ReceiverStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := ReceiverStats{
		Tunnels:       len(r.tunnels),
		Streams:       r.stats.streams.Load(),
		OpenStreams:   r.stats.open.Load(),
		Overruns:      r.stats.overruns.Load(),
		BytesReceived: r.stats.bytesReceived.Load(),
		BytesSent:     r.stats.bytesSent.Load(),
	}
	for credit := range r.tunnels {
		s.UnusedCredit += credit.Unused()
	}
	return s
}
