package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func returnTrue() bool { return true }

func TestWatchdog(t *testing.T) {
	t.Run("a stopped watchdog makes no further check, even if stopped during one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			asked := 0
			b := &watchdog{startHedge: returnTrue}
			b.isAlive = func() bool {
				asked++
				b.stop() // the answer arrives during the check
				return true
			}
			b.start(time.Second)
			time.Sleep(time.Minute)
			synctest.Wait()
			assert.Equal(t, 1, asked)
		})
	})
	t.Run("a runner is checked while it is alive and hedged once when it is not", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			asked, hedged := 0, 0
			b := &watchdog{startHedge: func() bool {
				hedged++
				return true
			}}
			b.isAlive = func() bool {
				asked++
				return asked < 5
			}
			b.start(time.Second)
			time.Sleep(time.Second + 4*livenessCheckInterval + time.Millisecond)
			synctest.Wait()
			assert.Equal(t, 5, asked)
			assert.Equal(t, 1, hedged)
		})
	})
	t.Run("a stall of the entry prolongs the wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &watchdog{timeout: time.Second, isAlive: func() bool { return false }, startHedge: returnTrue}
			b.start(time.Second)
			defer b.stop()
			time.Sleep(time.Second - settleTime/2) // the last part of the wait has begun
			synctest.Wait()
			assert.False(t, b.waitsLonger(b.due), "the entry has run without a stall")
			assert.True(t, b.waitsLonger(b.due.Add(time.Second)), "the entry has stalled")
			assert.False(t, b.waitsLonger(b.due), "the entry has run since the stall")
		})
	})
	t.Run("data from the runner restarts the wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &watchdog{timeout: time.Second, isAlive: func() bool { return false }, startHedge: func() bool {
				t.Error("another runner was tried")
				return true
			}}
			b.start(time.Second)
			for range 10 {
				time.Sleep(900 * time.Millisecond)
				b.reset()
			}
			b.stop()
		})
	})
}
