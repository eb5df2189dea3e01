// Package security sets up connections between the system's processes and from
// operators: mutual TLS 1.3 with a list of authorised certificate names for each role,
// or plain text if the settings say so.
//
// Certificate names are DNS names. A name identifies a role, not a host, because
// processes dial each other by IP address.
package security
