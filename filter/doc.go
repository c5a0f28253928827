// Package filter implements the chain of filters that processes a caller's request.
package filter
