// Package gateway is the entry on the users' platform: it takes callers' requests over HTTP, chooses a runner for each, and
// passes the answer back, straight from caller to runner.
package gateway
