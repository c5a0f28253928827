// Package drain decides which requests a process still accepts during shutdown. It does no I/O and does not read the
// clock.
package drain
