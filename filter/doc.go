// Package filter runs the chain of filters that a caller's request goes through.
package filter
