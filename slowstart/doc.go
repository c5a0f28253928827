// Package slowstart decides how many requests all entries together may send to a runner that has just started: one that is cold bears few a
// second, and falls over under more. It is without I/O.
package slowstart
