// Package explain reconstructs the outcome of one request, and its cause, from collected log lines:
// the request's own lines in chronological order, the changes of its router's state before its end,
// and a conclusion. It reports when lines are missing.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// lookback is how long before a request a change of its router's state may have caused a
	// failure.
	lookback = 10 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// maxStateChanges is the maximum number of state changes in a report.
	maxStateChanges = 12
)

// The numbers of the events that a report uses (docs/EVENTS.md).
const (
	eventRefused         = 340
	eventSent            = 341
	eventAttemptFailed   = 342
	eventAnswered        = 343
	eventUnanswered      = 344
	eventTruncated       = 345
	eventCallerLeft      = 346
	eventResumed         = 347
	eventLinesDropped    = 108
	eventConfigInForce   = 230
	eventServerSuspected = 420
	eventServersChanged  = 422
	eventTunnelClosed    = 543
	eventStoreLost       = 720
	eventStoreRegained   = 721
	eventReadiness       = 107

	eventSchedulerLost    = 545
	eventSchedulerBack    = 546
	eventSchedulerChanged = 547
)

// stateEvents are the events that report a change of a router's state.
var stateEvents = []int{
	eventConfigInForce, eventServerSuspected, eventServersChanged, eventStoreLost, eventStoreRegained, eventReadiness,
	eventTunnelClosed, eventSchedulerLost, eventSchedulerBack, eventSchedulerChanged,
}

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Event   int
	Message string
	Fields  map[string]any // all other fields
}

// text returns a field as text, or "" if the line does not have it.
func (l Line) text(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Report explains the outcome of a request.
type Report struct {
	Request      string
	Lines        []Line // of the request itself
	StateChanges []Line // of the state of its routers, before its end
	Dropped      []Line // reports of dropped lines, which may include lines of the request
	Conclusion   string
	Missing      string // what is missing; empty if nothing is known to be
}

// Read reads several logs and returns their lines in chronological order. Text that is not a log
// line is skipped.
func Read(logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for s.Scan() {
			if l, ok := parse(s.Bytes()); ok {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, &ReadError{Err: err}
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// ReadError reports a log that can't be read.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return "log can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// parse parses one line. A collector may have added a prefix to the JSON.
func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var head struct {
		Time  time.Time `json:"time"`
		Msg   string    `json:"msg"`
		Host  string    `json:"host"`
		Event int       `json:"event"`
	}
	if err := json.Unmarshal(text[i:], &head); err != nil || head.Event == 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[i:], &fields); err != nil {
		return Line{}, false
	}
	for _, name := range []string{"time", "msg", "host", "event", "level"} {
		delete(fields, name)
	}
	return Line{Time: head.Time, Host: head.Host, Event: head.Event, Message: head.Msg, Fields: fields}, true
}

// Explain explains a request from the lines, which must be in chronological order.
func Explain(lines []Line, request string) Report {
	r := Report{Request: request}
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.text("request") == request {
			r.Lines = append(r.Lines, l)
			hosts[l.Host] = true
		}
	}
	if len(r.Lines) == 0 {
		r.Conclusion = "no line names this request"
		r.Missing = "either the first server answered it completely and it is not among the requests whose routine lines are logged, " +
			"or the line of its refusal was omitted (leftOut of event 340, event 108), or its router's log was not collected, " +
			"or its caller's router relayed it and the tunnel broke (event 543)"
		return r
	}
	first, last := r.Lines[0].Time, r.Lines[len(r.Lines)-1].Time
	servers := r.servers()
	for _, l := range lines {
		if !hosts[l.Host] || l.Time.Before(first.Add(-lookback)) || l.Time.After(last) {
			continue
		}
		switch {
		case l.Event == eventLinesDropped:
			r.Dropped = append(r.Dropped, l)
		case isRelevant(l, servers, r.via()):
			r.StateChanges = append(r.StateChanges, l)
		}
	}
	r.StateChanges = r.StateChanges[max(0, len(r.StateChanges)-maxStateChanges):]
	r.conclude()
	return r
}

// servers returns the servers that the request's lines name.
func (r *Report) servers() map[string]bool {
	named := map[string]bool{}
	for _, l := range r.Lines {
		if s := l.text("server"); s != "" {
			named[s] = true
		}
	}
	return named
}

// via returns the control address of the router that relayed the request; empty: none did.
func (r *Report) via() string {
	for _, l := range r.Lines {
		if addr := l.text("via"); addr != "" {
			return addr
		}
	}
	return ""
}

// isRelevant reports whether the line is a state change that may have affected the request: any
// except those about other servers, and about tunnels other than that from via.
func isRelevant(l Line, servers map[string]bool, via string) bool {
	if !slices.Contains(stateEvents, l.Event) {
		return false
	}
	if l.Event == eventTunnelClosed {
		return via != "" && l.text("sender") == via
	}
	server := l.text("server")
	return server == "" || servers[server]
}

// conclude sets the conclusion from the request's last line that reports an outcome, or from its
// last line if there is none.
func (r *Report) conclude() {
	if len(r.Dropped) > 0 {
		r.Missing = "its router dropped log lines around that time (event 108); lines of the request may be among them"
	}
	end := r.Lines[len(r.Lines)-1]
	for _, l := range r.Lines {
		if l.Event == eventRefused || l.Event == eventUnanswered || l.Event == eventTruncated || l.Event == eventAnswered {
			end = l
		}
	}
	switch end.Event {
	case eventRefused:
		r.Conclusion = r.refusal(end)
	case eventUnanswered:
		r.Conclusion = "sent but not answered: " + end.text("reason") + "; " + r.lastFailure()
	case eventTruncated:
		r.Conclusion = "answer broke off after event " + end.text("last") + ": " + end.text("reason") + "; " + r.lastFailure()
	case eventAnswered:
		r.Conclusion = "answered with status " + end.text("status") + " by " + end.text("server") + " after " + end.text("tries") + " attempts"
	case eventCallerLeft:
		r.Conclusion = "its caller closed the connection " + end.text("afterMs") + " ms after the request had arrived"
	case eventSent, eventResumed, eventAttemptFailed:
		r.Conclusion = "the last line is “" + end.Message + "”: its router stopped, or the line of its outcome was not collected"
		r.Missing = "the request's outcome"
	}
	if via := r.via(); via != "" {
		r.Conclusion += "; its caller had connected to the router with the control address " + via + ", which relayed it"
	}
}

// refusal describes why a router refused the request.
func (r *Report) refusal(l Line) string {
	reason := l.text("reason")
	base := fmt.Sprintf("refused by %s with status %s under configuration %s: %s", l.Host, l.text("status"), l.text("config"), reason)
	switch {
	case strings.Contains(reason, "over share"):
		base += fmt.Sprintf("; the customer was served %s tokens/s against a share of %s", l.text("served"), l.text("share"))
		if decidedByScheduler(l) {
			return base + schedulerRefusal(l)
		}
		if l.text("candidates") == "0" {
			return base + " while others were below theirs: no server was searched for"
		}
		return base + fmt.Sprintf(", and servers had %s ms of work waiting", l.text("waitMs"))
	case strings.Contains(reason, "behind its work"), strings.Contains(reason, "in progress here"):
		return base + fmt.Sprintf("; the host had %s requests in progress, and runnable work waited %s ms for a processor", l.text("running"), l.text("processorWaitMs"))
	case strings.Contains(reason, "busy") && decidedByScheduler(l):
		return base + schedulerRefusal(l)
	case strings.Contains(reason, "busy"):
		return base + fmt.Sprintf("; the best of %s servers had %s ms of work waiting", l.text("candidates"), l.text("waitMs"))
	}
	return base
}

// decidedByScheduler reports whether the refusal is that of the scheduler of the data centre.
func decidedByScheduler(l Line) bool { return l.text("by") == "scheduler" }

// schedulerRefusal describes what the scheduler knew when it refused.
func schedulerRefusal(l Line) string {
	return fmt.Sprintf("; so decided the scheduler %s after %s ms: the expected wait was %s ms", l.text("scheduler"), l.text("askMs"), l.text("waitMs"))
}

// lastFailure describes the last failed attempt.
func (r *Report) lastFailure() string {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		l := r.Lines[i]
		if l.Event != eventAttemptFailed {
			continue
		}
		failure := l.text("err")
		if failure == "" {
			failure = "status " + l.text("status")
		}
		return fmt.Sprintf("the last attempt was at %s and ended with %s", l.text("server"), failure)
	}
	return "no failed attempt is logged: the server did not answer before the time limit"
}

// Write writes the report as text.
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", r.Request)
	section(&b, "lines of the request", r.Lines)
	section(&b, "state changes of its router before its end", r.StateChanges)
	fmt.Fprintf(&b, "conclusion: %s\n", r.Conclusion)
	if r.Missing != "" {
		fmt.Fprintf(&b, "missing: %s\n", r.Missing)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func section(b *strings.Builder, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:\n", title)
	for _, l := range lines {
		fmt.Fprintf(b, "  %s %s %d %s", l.Time.Format("15:04:05.000"), l.Host, l.Event, l.Message)
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(b, " %s=%v", name, l.Fields[name])
		}
		b.WriteByte('\n')
	}
}
