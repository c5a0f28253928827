package policy

import (
	"container/list"
	"time"
)

// The parameters of the model. Rates are in tokens or bytes per second.
const (
	// An engine computes 8,000 prompt tokens per second and caches 400,000 tokens, with 64 KiB of state each.
	prefillRate       = 8000.0
	engineCacheTokens = 400_000
	bytesPerToken     = 64 << 10
	// A store has 128 GiB of memory and a disk of 2 TiB. Its link carries 5 GB/s and its disk reads 1.5 GB/s.
	storeMemoryBytes = int64(128) << 30
	storeDiskBytes   = int64(2) << 40
	linkRate         = 5e9
	diskRate         = 1.5e9
	// crossSideRate is the rate of the link between the sides.
	crossSideRate   = 1e9
	firstTokenDelay = 30 * time.Millisecond
	networkDelay    = 2 * time.Millisecond
)

// lru is a cache of bounded size that records how many tokens of each conversation it holds.
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

// tokens returns how many tokens of a conversation are cached.
func (l *lru) tokens(conversation int) int {
	if e := l.entries[conversation]; e != nil {
		return e.Value.(*lruEntry).tokens
	}
	return 0
}

// put records tokens of a conversation. It evicts the least recently used conversations if needed and returns them.
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

// store models a store instance: memory in front of a disk, behind one link.
type store struct {
	memory *lru
	disk   *lru
	link   link
	failed bool
}

func newStore() *store {
	return &store{memory: newLRU(storeMemoryBytes / bytesPerToken), disk: newLRU(storeDiskBytes / bytesPerToken), link: link{rate: linkRate}}
}

// lookup returns how many tokens of a conversation are stored, and the rate at which they can be read.
func (s *store) lookup(conversation int) (int, float64) {
	if s.failed {
		return 0, 0
	}
	if tokens := s.memory.tokens(conversation); tokens > 0 {
		return tokens, s.link.rate
	}
	return s.disk.tokens(conversation), min(diskRate, s.link.rate)
}

// put stores tokens of a conversation in memory. Conversations evicted from memory go to disk.
func (s *store) put(conversation, tokens int) {
	if s.failed {
		return
	}
	for _, dropped := range s.memory.put(conversation, tokens) {
		s.disk.put(dropped.conversation, dropped.tokens)
	}
}

// link models a network link with two priorities: background traffic uses the capacity that urgent traffic leaves.
type link struct {
	rate            float64
	updatedAt       time.Duration
	urgentBytes     float64
	backgroundBytes float64
	// sentBytes and busyTime are totals for the report.
	sentBytes float64
	busyTime  time.Duration
}

// advance sends queued bytes up to the given time.
func (l *link) advance(now time.Duration) {
	capacity := (now - l.updatedAt).Seconds() * l.rate
	l.updatedAt = now
	urgent := min(l.urgentBytes, capacity)
	background := min(l.backgroundBytes, capacity-urgent)
	l.urgentBytes -= urgent
	l.backgroundBytes -= background
	l.sentBytes += urgent + background
	l.busyTime += seconds((urgent + background) / l.rate)
}

// urgentDelay returns how long new urgent traffic waits before it is sent.
func (l *link) urgentDelay(now time.Duration) time.Duration {
	l.advance(now)
	return seconds(l.urgentBytes / l.rate)
}

// sendUrgent queues urgent bytes and returns their arrival time. The sender may be slower
// than the link, such as a store that reads from disk; it then occupies the link for longer.
func (l *link) sendUrgent(now time.Duration, bytes, rate float64) time.Duration {
	l.advance(now)
	l.urgentBytes += bytes * l.rate / rate
	return now + seconds(l.urgentBytes/l.rate)
}

// sendBackground queues bytes of low priority.
func (l *link) sendBackground(now time.Duration, bytes float64) {
	l.advance(now)
	l.backgroundBytes += bytes
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
