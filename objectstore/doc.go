// Package objectstore does calls to the platform's object API over HTTP: conditional requests by ETag,
// and watches as requests that wait for changes.
package objectstore
