// Package slowstart decides how many requests all entries together may send to a runner that has just started. A cold
// runner handles only a few requests per second and fails under more. The package does no I/O.
package slowstart
