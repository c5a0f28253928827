// Package gateway implements the entry: it accepts callers' HTTP requests, chooses a runner for each, forwards the
// request to it directly, and relays its answer to the caller.
package gateway
