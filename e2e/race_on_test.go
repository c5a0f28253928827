//go:build race

package e2e

import "time"

var buildFlags = []string{"-race"}

// listenerCloseMargin is how long before the exit of its process an entry may fail new connections. Some time always
// passes between the closing of the listener and the exit that the parent process observes, and the race detector makes
// it longer.
const listenerCloseMargin = 250 * time.Millisecond
