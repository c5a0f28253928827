// Package scheduler chooses the runner for a request by the prompt tokens that each runner would have to process, its load
// and the zone that it is in. It does no I/O and does not read the clock.
package scheduler
