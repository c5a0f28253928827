// Package place decides which runner takes a request, from what is known of each: the tokens that it would have to read,
// what runs there already, and what crosses zones. It is without I/O and without a clock.
package place
