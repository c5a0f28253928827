// Package operation runs blocking functions whose callers can stop waiting and collect the result later.
package operation

import "github.com/sourcegraph/conc"

// Operation runs one blocking function at a time. Its zero value is ready to use. Its methods must not be called
// concurrently.
type Operation[T any] struct {
	wg conc.WaitGroup
	// result receives the result of the function that was started last. It is nil while there is none to collect.
	result chan T
}

// Await calls fn, unless the result of an earlier call is still to be collected, and returns the result. It returns
// false if interrupt is closed first; the function then continues, and the next Await returns its result.
func (o *Operation[T]) Await(interrupt <-chan struct{}, fn func() T) (T, bool) {
	if o.result == nil && interrupt == nil {
		return fn(), true
	}
	if o.result == nil {
		result := make(chan T, 1)
		o.result = result
		o.wg.Go(func() { result <- fn() })
	}
	if result, ok := o.Poll(); ok { // preferred to an interrupt
		return result, true
	}
	select {
	case result := <-o.result:
		o.result = nil
		return result, true
	case <-interrupt:
		var none T
		return none, false
	}
}

// Pending reports whether there is a result that was not collected, or a function that has not returned.
func (o *Operation[T]) Pending() bool { return o.result != nil }

// Poll returns the result if there is one that was not collected.
func (o *Operation[T]) Poll() (T, bool) {
	var none T
	if o.result == nil {
		return none, false
	}
	select {
	case result := <-o.result:
		o.result = nil
		return result, true
	default:
		return none, false
	}
}

// Wait waits until no function is running.
func (o *Operation[T]) Wait() { o.wg.Wait() }
