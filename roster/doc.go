// Package roster holds what a gateway knows about the model runners: the platform's list, the outcomes of the
// gateway's own requests, and the reports of the runners' agents. It does no I/O.
package roster
