// Package eventstream finds the events in a stream of server-sent events (text/event-stream). It does no I/O.
package eventstream
