// Package membership decides which instances are there to be used, from the platform's lagging list,
// from what instances announce of themselves, and from what requests meet.
package membership
