// Package table holds a process's copy of the operators' rows. A row is replaced only by a later version, and a row
// that fails validation leaves the last valid version in force.
package table
