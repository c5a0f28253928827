// Package route decides where a request runs: its side by the row's weights, and its runner by reuse,
// queue and link time under the row's objective.
package route
