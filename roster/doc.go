// Package roster holds what an entry knows about the model runners: the platform's list, the outcomes of the
// entry's own requests, and the reports of the runners' agents. It does no I/O.
package roster
