package intake

import "fmt"

const (
	minStatus = 100
	maxStatus = 599
	// maxQuotedName bounds how many bytes of a field's name an error message quotes.
	maxQuotedName = 60
)

// CheckHead returns a *StatusError or a *FieldNameError unless the status and the names of the fields are valid in
// an HTTP response. net/http accepts more.
func CheckHead(status int, fields map[string][]string) error {
	if err := CheckStatus(status); err != nil {
		return err
	}
	return CheckFieldNames(fields)
}

// StatusError means that the status of a response is outside the range of HTTP.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("invalid status %03d", e.Status) }

// CheckStatus returns a *StatusError unless the status is valid (RFC 9110, section 15).
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &StatusError{Status: status}
	}
	return nil
}

// FieldNameError means that the name of a response's field is not a token.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("invalid field name %q", e.Name[:min(len(e.Name), maxQuotedName)])
}

// CheckFieldNames returns a *FieldNameError unless the names of all fields are tokens (RFC 9110, section 5.1).
// net/http accepts blanks in them and then ignores what such a field says about the framing of the body.
func CheckFieldNames(fields map[string][]string) error {
	for name := range fields {
		if !isToken(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// isToken reports whether the text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// tokenBytes are the bytes of a token.
var tokenBytes = func() (allowed [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		allowed[c] = true
	}
	return allowed
}()
