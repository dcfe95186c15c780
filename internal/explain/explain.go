// Package explain finds in collected log lines what became of one request and
// why: its own lines in the order of time, what its router believed at the time,
// and a conclusion. It says when lines are missing.
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
	// before is how far back a change of belief may have led to a failure.
	before = 10 * time.Second
	// maxLine bounds one log line.
	maxLine = 1 << 20
	// mostBeliefs bounds the changes of belief that are shown.
	mostBeliefs = 12
)

// The numbers of the events that the conclusion reads (docs/EVENTS.md).
const (
	refused    = 340
	sent       = 341
	failed     = 342
	answered   = 343
	givenUp    = 344
	cut        = 345
	left       = 346
	resumed    = 347
	dropped    = 108
	inForce    = 230
	suspected  = 420
	listed     = 422
	storeLost  = 720
	storeBack  = 721
	readyEvent = 107
)

// beliefs are the events that change what a router believes.
var beliefs = []int{inForce, suspected, listed, storeLost, storeBack, readyEvent}

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Event   int
	Message string
	Fields  map[string]any // the rest
}

// text returns a field as text; empty: none.
func (l Line) text(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Report is what the lines say of a request.
type Report struct {
	Request    string
	Lines      []Line // of the request itself
	Beliefs    []Line // of its routers, before its end
	Dropped    []Line // by which lines may be missing
	Conclusion string
	Missing    string // what is missing; empty: nothing is known to be
}

// Read reads the lines of several logs, and leaves out what is no log line.
func Read(logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(make([]byte, 0, 64<<10), maxLine)
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

// ReadError is a log that can't be read.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return "log can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// parse reads one line; a collector may have put something before the JSON.
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

// Explain explains a request by the lines, which are in the order of time.
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
		r.Missing = "it was answered whole at the first server and is not among the requests whose routine lines are written, " +
			"or its refusal is among those left out (leftOut of event 340, event 108), or its router's log was not collected"
		return r
	}
	first, last := r.Lines[0].Time, r.Lines[len(r.Lines)-1].Time
	servers := r.servers()
	for _, l := range lines {
		if !hosts[l.Host] || l.Time.Before(first.Add(-before)) || l.Time.After(last) {
			continue
		}
		switch {
		case l.Event == dropped:
			r.Dropped = append(r.Dropped, l)
		case relevant(l, servers):
			r.Beliefs = append(r.Beliefs, l)
		}
	}
	r.Beliefs = r.Beliefs[max(0, len(r.Beliefs)-mostBeliefs):]
	r.conclude()
	return r
}

// servers are those that the request's lines name.
func (r *Report) servers() map[string]bool {
	named := map[string]bool{}
	for _, l := range r.Lines {
		if s := l.text("server"); s != "" {
			named[s] = true
		}
	}
	return named
}

// relevant reports whether a change of belief may have mattered: all but those
// about other servers.
func relevant(l Line, servers map[string]bool) bool {
	if !slices.Contains(beliefs, l.Event) {
		return false
	}
	server := l.text("server")
	return server == "" || servers[server]
}

// conclude words the cause by the request's last decisive line.
func (r *Report) conclude() {
	if len(r.Dropped) > 0 {
		r.Missing = "its router dropped log lines around that time (event 108); lines of the request may be among them"
	}
	end := r.Lines[len(r.Lines)-1]
	for _, l := range r.Lines {
		if l.Event == refused || l.Event == givenUp || l.Event == cut || l.Event == answered {
			end = l
		}
	}
	switch end.Event {
	case refused:
		r.Conclusion = r.refusal(end)
	case givenUp:
		r.Conclusion = "sent and not answered: " + end.text("reason") + "; " + r.lastFailure()
	case cut:
		r.Conclusion = "cut after event " + end.text("last") + ": " + end.text("reason") + "; " + r.lastFailure()
	case answered:
		r.Conclusion = "answered with status " + end.text("status") + " by " + end.text("server") + " after " + end.text("tries") + " tries"
	case left:
		r.Conclusion = "its caller left, " + end.text("afterMs") + " ms after it had come"
	case sent, resumed, failed:
		r.Conclusion = "the last line is “" + end.Message + "”: its router ended, or its end was not collected"
		r.Missing = "the request's end"
	}
}

// refusal words why a router refused.
func (r *Report) refusal(l Line) string {
	reason := l.text("reason")
	base := fmt.Sprintf("refused by %s with status %s under configuration %s: %s", l.Host, l.text("status"), l.text("config"), reason)
	switch {
	case strings.Contains(reason, "over share"):
		base += fmt.Sprintf("; the customer was served %s tokens/s against a share of %s", l.text("served"), l.text("share"))
		if l.text("candidates") == "0" {
			return base + ", and others lacked of theirs: no server was looked for"
		}
		return base + fmt.Sprintf(", and servers had %s ms of work waiting", l.text("waitMs"))
	case strings.Contains(reason, "behind its work"), strings.Contains(reason, "in progress here"):
		return base + fmt.Sprintf("; the host had %s requests in progress and what could run waited %s ms for its processor", l.text("running"), l.text("processorWaitMs"))
	case strings.Contains(reason, "busy"):
		return base + fmt.Sprintf("; the best of %s servers had %s ms of work waiting", l.text("candidates"), l.text("waitMs"))
	}
	return base
}

// lastFailure words the last failed attempt.
func (r *Report) lastFailure() string {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		l := r.Lines[i]
		if l.Event != failed {
			continue
		}
		how := l.text("err")
		if how == "" {
			how = "status " + l.text("status")
		}
		return fmt.Sprintf("the last attempt was at %s and ended with %s", l.text("server"), how)
	}
	return "no attempt's failure is logged: the server was silent until the time was over"
}

// Write writes the report as text.
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", r.Request)
	section(&b, "lines of the request", r.Lines)
	section(&b, "what its router came to believe before its end", r.Beliefs)
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
