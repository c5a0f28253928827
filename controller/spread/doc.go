// Package spread keeps a process's copy of the platform's objects close to the platform: it watches where it is the
// process's turn, hands changes on down its zone's tree, and compares marks with a few partners.
package spread
