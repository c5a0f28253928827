package notify

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

// Progress is how far a process has followed the objects of one kind; its zero value has not begun.
type Progress struct {
	mu       sync.Mutex
	revision rillreach.Revision
	answered time.Time
}

// RecordResponse records an answer of the store at a revision, which had changes or not.
func (p *Progress) RecordResponse(now time.Time, revision rillreach.Revision, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = now
	if changed && revision.After(p.revision) {
		p.revision = revision
	}
}

// Notice is what others are told, and false before the store's first answer.
func (p *Progress) Notice(kind Kind, now time.Time) (Notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered.IsZero() {
		return Notice{}, false
	}
	return Notice{Kind: kind, Revision: p.revision, Age: max(0, now.Sub(p.answered)).Round(time.Millisecond)}, true
}
