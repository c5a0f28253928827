// Package demo runs the whole system in one process over loopback, with stand-ins for the outside systems, for a
// newcomer to try and for measurements.
package demo
