// Package path measures the overhead of the request path through entry and agent: the time to first token compared
// with a direct call to the engine, the events per second, and the memory for idle streams.
package path
