// Command soak tests entries and agents under faults. It runs them as real processes, with stand-ins for the runners and
// the object store, and injects faults from the outside on a schedule that is drawn from a seed. Callers reach the
// entries through a balancer that works like the platform's. At the end, soak checks what callers and runners observed
// against the guarantees, and exits with a non-zero status if one was violated.
//
//	go run ./soak --seed 1 --for 20s
//	go run ./soak --seed 1 --for 60s --entries 60 --runners 60 --callers 600
package main
