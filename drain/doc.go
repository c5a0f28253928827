// Package drain decides what a process that has been told to stop still takes. It has no clock and does no I/O.
package drain
