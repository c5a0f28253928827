// Package pinning keeps a stream at the software version that began it. What runners of two versions write does not fit
// together, so that the rest of a stream may only come from runners of the version that sent its first event.
//
// The package does no I/O.
package pinning
