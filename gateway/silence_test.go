package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func yes() bool { return true }

func TestSilenceBound(t *testing.T) {
	t.Run("nothing is asked once the bound is lifted, also where it was being asked just then", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			asked := 0
			b := &silenceBound{end: func() {}, replaced: yes}
			b.lives = func() bool {
				asked++
				b.stop() // the answer comes while the runner is being looked at
				return true
			}
			b.begin(time.Second)
			time.Sleep(time.Minute)
			synctest.Wait()
			assert.Equal(t, 1, asked)
		})
	})
	t.Run("a runner that lives is asked again, one that does not ends the attempt", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			asked, ended := 0, 0
			b := &silenceBound{end: func() { ended++ }, replaced: yes}
			b.lives = func() bool {
				asked++
				return asked < 5
			}
			b.begin(time.Second)
			time.Sleep(time.Second + 4*askEvery + time.Millisecond)
			synctest.Wait()
			assert.Equal(t, 5, asked)
			assert.Equal(t, 1, ended)
		})
	})
	t.Run("each word of the runner begins the wait anew", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &silenceBound{allowed: time.Second, end: func() { t.Error("ended") }, lives: func() bool { return false }, replaced: yes}
			b.begin(time.Second)
			for range 10 {
				time.Sleep(900 * time.Millisecond)
				b.heard()
			}
			b.stop()
		})
	})
}
