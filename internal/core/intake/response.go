package intake

import "fmt"

const (
	minStatus = 100
	maxStatus = 599
)

// StatusError means that the status of a response is not one of HTTP.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("invalid status %03d", e.Status) }

// CheckStatus returns a *StatusError unless the status is one of HTTP (RFC 9110, section 15). Parsers in
// common use accept any three digits, and some accept signs.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &StatusError{Status: status}
	}
	return nil
}
