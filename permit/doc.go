// Package permit bounds the requests that all entries together send to one runner. An allotter beside the runner allots permits to the entries that
// follow it, each of which lets one request begin within a short time. Entries need no knowledge of each other, and one that is cut off from
// the allotter gets none. It is without I/O.
package permit
