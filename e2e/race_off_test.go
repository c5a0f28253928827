//go:build !race

package e2e

import "time"

var buildFlags []string

// listenerCloseMargin is how long before its process's end an entry may fail new connections: between the closing of its listener and the
// end that its parent sees there is always some time.
const listenerCloseMargin = 50 * time.Millisecond
