// Package blockstore is an HTTP client of store instances, which keep sealed blocks in memory and on disk.
package blockstore
