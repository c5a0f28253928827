// Package completeness decides whether a response whose body has ended is complete, or was truncated because the process
// that sent it broke off. It does no I/O.
package completeness
