package localstate

import (
	"sync"
	"time"
)

const (
	// stallLeast is the least time without a tick, one of which is due every expireEvery, after which the process is taken to have
	// stood still: ticks come some 0.1 s late on a seventh of a core.
	stallLeast = time.Second
	// deliverWithin is how soon after its end, or after the answer that came at its end, a process hears of what was done during a
	// stall: the messages wait for it.
	deliverWithin = 500 * time.Millisecond
)

// stallWatch notices that the process stood still, right after which it cannot know when what it hears of was done. Its zero value is
// ready.
type stallWatch struct {
	mu     sync.Mutex
	ticked time.Time
	// ended is when the last stall did, answered when the source last answered, and late says that this answer may have waited.
	ended    time.Time
	answered time.Time
	late     bool
}

// tick is to be called every expireEvery.
func (w *stallWatch) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice(now)
}

// notice records that the process runs now; the lock is held.
func (w *stallWatch) notice(now time.Time) {
	if !w.ticked.IsZero() && now.Sub(w.ticked) > stallLeast {
		w.ended = now
	}
	w.ticked = now
}

// answer records that a whole answer of the source has been taken over.
func (w *stallWatch) answer(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice(now)
	w.answered, w.late = now, soonAfter(now, w.ended)
}

// doubts reports that a change which is heard of now may have been made a while ago: the first answer after a stall may have waited
// for its end, and the next one tells of what came after that.
func (w *stallWatch) doubts(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice(now)
	return soonAfter(now, w.ended) || w.late && soonAfter(now, w.answered)
}

func soonAfter(now, then time.Time) bool { return !then.IsZero() && now.Sub(then) < deliverWithin }
