// Package ratelimit keeps the request rate that a backend server asks for in its
// responses. The rate applies to the requests of all entries together.
package ratelimit
