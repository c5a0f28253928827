package notify

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

// Progress records how current a process's view of the objects of one kind is. Its zero value is ready to use, and its
// methods may be called concurrently.
type Progress struct {
	mu          sync.Mutex
	revision    rillreach.Revision
	respondedAt time.Time
}

// RecordResponse records a response of the store at a revision, and whether it contained changes.
func (p *Progress) RecordResponse(now time.Time, revision rillreach.Revision, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.respondedAt = now
	if changed && revision.After(p.revision) {
		p.revision = revision
	}
}

// Notice returns the notice to send, or false before the store's first response.
func (p *Progress) Notice(kind Kind, now time.Time) (Notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.respondedAt.IsZero() {
		return Notice{}, false
	}
	return Notice{Kind: kind, Revision: p.revision, Age: max(0, now.Sub(p.respondedAt)).Round(time.Millisecond)}, true
}
