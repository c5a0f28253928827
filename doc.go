// Package rillreach defines the domain types of the system and the interfaces of its replaceable parts: the
// platform's object API, model engines, plain services, block stores, clocks and request filters.
//
// Implementations are in the packages below it. The decision packages (route, once, limit, queue, replicate,
// membership, keep, retry) do no I/O, start no goroutines and do not read the clock: they take state and an event,
// and return a typed decision with its reason.
package rillreach
