//go:build race

package e2e

import "time"

var buildFlags = []string{"-race"}

// listenerCloseMargin is how long before its process's end an entry may fail new connections: between the closing of its listener and the
// end that its parent sees there is always some time, which the race detector
// makes longer.
const listenerCloseMargin = 250 * time.Millisecond
