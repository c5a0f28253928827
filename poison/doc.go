// Package poison detects requests that crash the runners that process them, and quarantines such a request after a few
// crashes. It does no I/O, and its callers pass in the current time.
package poison
