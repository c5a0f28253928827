// Package objectstore is a client of the platform's object API over HTTP. Writes are conditional on an ETag, and
// watches use long polling.
package objectstore
