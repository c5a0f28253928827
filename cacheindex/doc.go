// Package cacheindex tracks which prompt parts runners and cache stores hold in their KV cache. An agent keeps a
// Tracker for each holder whose events it follows; an entry keeps an Index over all holders. The package does no I/O.
package cacheindex
