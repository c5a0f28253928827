// Package blockstore does calls to store instances over HTTP, which keep sealed blocks in memory and on disk.
package blockstore
