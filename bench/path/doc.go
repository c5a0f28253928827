// Package path measures what the way through entry and agent costs: time to first token beside calling the engine
// directly, frames a second, and memory for idle streams.
package path
