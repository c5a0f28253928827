// Package capacity holds the benchmarks that give the slopes of docs/CAPACITY.md: state, messages and processor time as
// they grow with rows, instances, connections and requests.
package capacity
