package events

// The events of what operators order, and of certificates being replaced.
var (
	DrainOrdered        = Event{110, "drain ordered"}
	LinkOrdered         = Event{111, "link cut or mended by order"}
	CertificateReplaced = Event{112, "certificate replaced"}
	CertificateRefused  = Event{113, "replacement of a certificate refused"}
	CertificateExpires  = Event{114, "certificate expires soon"}
)
