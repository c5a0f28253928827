// Package backpressure holds what a runner's answers ask of those who send requests to it, and decides which of several answers counts. It is without
// I/O.
package backpressure
