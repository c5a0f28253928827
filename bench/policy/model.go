package policy

import (
	"container/list"
	"time"
)

// The model's figures: an engine that computes 8,000 tokens of a prompt a second and holds 400,000 in its memory, 64 KB
// of state for each token, and stores of 128 GB of memory and 2 TB of disk each behind links of 5 GB a second, which
// read from disk at 1.5 GB a second.
const (
	prefillRate       = 8000.0
	engineCacheTokens = 400_000
	bytesPerToken     = 64 << 10
	storeMemoryBytes  = int64(128) << 30
	storeDiskBytes    = int64(2) << 40
	linkRate          = 5e9
	diskRate          = 1.5e9
	crossSideRate     = 1e9
	firstTokenDelay   = 30 * time.Millisecond
	networkDelay      = 2 * time.Millisecond
)

// lru is a bounded memory of how many tokens of each conversation are held.
type lru struct {
	capacity int64
	used     int64
	recency  *list.List
	entries  map[int]*list.Element
}

type lruEntry struct {
	conversation int
	tokens       int
}

func newLRU(capacity int64) *lru {
	return &lru{capacity: capacity, recency: list.New(), entries: map[int]*list.Element{}}
}

func (l *lru) tokens(conversation int) int {
	if e := l.entries[conversation]; e != nil {
		return e.Value.(*lruEntry).tokens
	}
	return 0
}

// put holds tokens of a conversation, and drops the least recently used ones for them; it returns the dropped.
func (l *lru) put(conversation, tokens int) []lruEntry {
	if e := l.entries[conversation]; e != nil {
		entry := e.Value.(*lruEntry)
		l.used += int64(tokens - entry.tokens)
		entry.tokens = tokens
		l.recency.MoveToFront(e)
	} else {
		l.entries[conversation] = l.recency.PushFront(&lruEntry{conversation: conversation, tokens: tokens})
		l.used += int64(tokens)
	}
	var dropped []lruEntry
	for l.used > l.capacity && l.recency.Len() > 0 {
		oldest := l.recency.Remove(l.recency.Back()).(*lruEntry)
		delete(l.entries, oldest.conversation)
		l.used -= int64(oldest.tokens)
		dropped = append(dropped, *oldest)
	}
	return dropped
}

// store is a model of a store instance: memory before a disk, behind one link.
type store struct {
	memory *lru
	disk   *lru
	link   link
	failed bool
}

func newStore() *store {
	return &store{memory: newLRU(storeMemoryBytes / bytesPerToken), disk: newLRU(storeDiskBytes / bytesPerToken), link: link{rate: linkRate}}
}

// lookup is how many tokens of a conversation the store has, and at which rate they can be read.
func (s *store) lookup(conversation int) (int, float64) {
	if s.failed {
		return 0, 0
	}
	if tokens := s.memory.tokens(conversation); tokens > 0 {
		return tokens, s.link.rate
	}
	return s.disk.tokens(conversation), min(diskRate, s.link.rate)
}

// put keeps tokens in memory; what memory drops goes to disk.
func (s *store) put(conversation, tokens int) {
	if s.failed {
		return
	}
	for _, dropped := range s.memory.put(conversation, tokens) {
		s.disk.put(dropped.conversation, dropped.tokens)
	}
}

// link is a model of a link with two classes: what is urgent goes first, what can wait fills the rest.
type link struct {
	rate            float64
	updatedAt       time.Duration
	urgentBytes     float64
	backgroundBytes float64
	// sentBytes and busy are for the report.
	sentBytes float64
	busyTime  time.Duration
}

// advance carries what is queued up to a time.
func (l *link) advance(now time.Duration) {
	room := (now - l.updatedAt).Seconds() * l.rate
	l.updatedAt = now
	urgent := min(l.urgentBytes, room)
	later := min(l.backgroundBytes, room-urgent)
	l.urgentBytes -= urgent
	l.backgroundBytes -= later
	l.sentBytes += urgent + later
	l.busyTime += seconds((urgent + later) / l.rate)
}

// urgentDelay is how long something urgent would urgentDelay before it is carried.
func (l *link) urgentDelay(now time.Duration) time.Duration {
	l.advance(now)
	return seconds(l.urgentBytes / l.rate)
}

// sendUrgent queues urgent bytes and returns when they have arrived, at a rate that may be below the link's.
func (l *link) sendUrgent(now time.Duration, bytes, rate float64) time.Duration {
	l.advance(now)
	l.urgentBytes += bytes * l.rate / rate
	return now + seconds(l.urgentBytes/l.rate)
}

// sendBackground queues bytes that can wait.
func (l *link) sendBackground(now time.Duration, bytes float64) {
	l.advance(now)
	l.backgroundBytes += bytes
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
