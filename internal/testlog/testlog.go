// Package testlog provides loggers that write to the log of a test.
package testlog

import (
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// New returns a logger that writes to the test's log until the test ends. Later lines are dropped, since what a test has
// started may go on for some time.
func New(t *testing.T) logr.Logger {
	t.Helper()
	var mu sync.Mutex
	ended := false
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
	})
	return funcr.New(func(prefix, args string) {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			t.Log(prefix, args)
		}
	}, funcr.Options{})
}
