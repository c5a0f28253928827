// Package capacity contains the benchmarks behind the figures in docs/CAPACITY.md: how memory, message sizes and
// processor time grow with the numbers of rows, instances, connections and requests.
package capacity
