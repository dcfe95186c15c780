package upstream

import "fmt"

// Stage is how far an exchange got before it failed.
type Stage int

// The stages of an exchange.
const (
	StageDial     Stage = iota + 1 // no connection was used: nothing was sent
	StageSend                      // while sending the request or waiting for the response
	StageResponse                  // what arrived is not a response to this request
	StageBody                      // while reading the body of the response
)

var stageNames = map[Stage]string{
	StageDial: "dial", StageSend: "send", StageResponse: "answer", StageBody: "body",
}

// String returns the name of the stage, which appears in logs and metrics.
func (s Stage) String() string { return stageNames[s] }

// Error is a failed exchange. The server may have run the request if Sent is true.
type Error struct {
	Stage  Stage
	Sent   bool // some bytes of the request may have been sent
	Reused bool // the connection had carried an exchange before
	// Received is how many bytes the server sent.
	Received int64
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: %v", e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MalformedError is a head of a response that can't be parsed.
type MalformedError struct{ Err error }

// maxQuoted bounds how much of a malformed head an error message quotes.
const maxQuoted = 200

// Error implements error.
func (e *MalformedError) Error() string {
	text := e.Err.Error()
	return text[:min(len(text), maxQuoted)]
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// Fault is an error cause without further details.
type Fault string

// Error implements error.
func (f Fault) Error() string { return string(f) }

// Causes of failed exchanges.
const (
	ErrResponseMismatch Fault = "answer of another request"
	ErrUpgrade          Fault = "server switched protocols without being asked to"
	ErrCancelled        Fault = "exchange cancelled"
	ErrServerLeaving    Fault = "server no longer accepts new requests"
	ErrRejected         Fault = "server closed the new connection before the request was sent"
	ErrConnLimit        Fault = "all connections to the server are in use"
	ErrServerCrashed    Fault = "server crashed at the end of a close-delimited response"
	ErrEndUnconfirmed   Fault = "end of a close-delimited response could not be confirmed"
)
