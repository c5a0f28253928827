// Package responseclass decides what a runner's response means for the request that it answers: whether it may be
// forwarded, whether it states that the request has not run, and whether anything of it may be believed.
//
// The package does no I/O.
package responseclass
