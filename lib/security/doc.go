// Package security sets up the connections between the system's own processes
// and those of operators: mutual TLS 1.3 with authorised certificate names for
// each role, or plain text where the settings name it.
//
// Names are the DNS names of a certificate. They stand for a role, not for a
// host: processes dial each other by IP address.
package security
