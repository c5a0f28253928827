// Package edit changes the operators' rows in the platform: with compare-and-set, and so that an edit whose answer was
// lost is recognised as taken or not taken.
package edit
