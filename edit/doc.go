// Package edit changes the operators' rows in the platform with compare-and-set. If the response to a write is lost, it
// reads the row back to find out whether the write was applied.
package edit
