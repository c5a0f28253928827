// Command soak runs real entries as processes of their own before runners and a store that it stands in for, injects faults
// from outside them by a schedule that a seed gives, and holds what callers and runners saw against the promises. It ends by
// itself, with a non-zero status where a promise was broken.
//
//	go run ./soak --seed 1 --for 20s
package main
