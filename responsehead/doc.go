// Package responsehead decides whether bytes are the head of an HTTP response, before anything of them is believed: the
// status, the length, the headers, or that a request has not run. It does no I/O.
package responsehead
