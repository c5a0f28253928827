// Package table holds a process's copy of the operators' rows: it only moves forward, and a row
// that fails its checks leaves the last good one in force.
package table
