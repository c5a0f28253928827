// Command soak runs real entries and agents as processes of their own before runners and a store that it stands in for,
// injects faults from outside them by a schedule that a seed gives, and holds what callers and runners saw against the
// promises. Callers reach the entries through a balancer that works as the platform's does. The soak ends by itself, with a
// non-zero status where a promise was broken.
//
//	go run ./soak --seed 1 --for 20s
//	go run ./soak --seed 1 --for 60s --entries 60 --runners 60 --callers 600
package main
