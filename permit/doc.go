// Package permit bounds the rate of requests that all entries together send to one runner. An agent runs an Allocator
// for the runner and issues permits to the entries that follow the agent; each permit allows one request to start
// within a short time. Entries need no knowledge of each other, and an entry that loses its connection to the agent
// gets no permits. The package does no I/O.
package permit
