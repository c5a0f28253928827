package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func returnTrue() bool { return true }

func TestWatchdog(t *testing.T) {
	t.Run("nothing is asked once the bound is lifted, also where it was being asked just then", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			asked := 0
			b := &watchdog{startHedge: returnTrue}
			b.isAlive = func() bool {
				asked++
				b.stop() // the answer comes while the runner is being looked at
				return true
			}
			b.start(time.Second)
			time.Sleep(time.Minute)
			synctest.Wait()
			assert.Equal(t, 1, asked)
		})
	})
	t.Run("a runner that lives is asked again, beside one that does not another is asked once", func(t *testing.T) {
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
	t.Run("an entry that stood still reads first what came meanwhile", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &watchdog{timeout: time.Second, isAlive: func() bool { return false }, startHedge: returnTrue}
			b.start(time.Second)
			defer b.stop()
			time.Sleep(time.Second - settleTime/2) // the last part has begun
			synctest.Wait()
			assert.False(t, b.waitsLonger(b.due), "the entry has run")
			assert.True(t, b.waitsLonger(b.due.Add(time.Second)), "the entry has stood still")
			assert.False(t, b.waitsLonger(b.due), "the entry has run since")
		})
	})
	t.Run("each word of the runner begins the wait anew", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &watchdog{timeout: time.Second, isAlive: func() bool { return false }, startHedge: func() bool {
				t.Error("another was asked")
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
