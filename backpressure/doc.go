// Package backpressure keeps the senders of requests within the limits that runners state in their responses, and
// decides which of several responses is in force. The package does no I/O.
package backpressure
