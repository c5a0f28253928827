// Package slowstart bounds the requests that all entries together send to a runner which has just started: one that is cold bears few a
// second, and falls over under more.
//
// The agent beside a runner allots permits to the entries that follow it, each of which lets one request begin within a short time. Entries need
// no knowledge of each other, and one that is cut off from the agent gets none. It is without I/O.
package slowstart
