// Package roster holds what an entry knows of the runners: the platform's list, the evidence of its own requests, and what
// the agents report. It does no I/O.
package roster
