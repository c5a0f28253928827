// Package rillreach holds the domain types of the system and the interfaces of what varies: the
// platform's object API, model engines, plain services, block stores, clocks and request filters.
//
// Implementations live in the packages below it. The decision packages (route, once, limit, queue,
// replicate, membership, keep, retry) do no I/O, start no goroutines and read no wall clock: state
// and an event go in, a typed decision with its reason comes out.
package rillreach
