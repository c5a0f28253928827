package pinning

import (
	"container/list"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

// DefaultLimit is the default maximum number of records in a table, which take about 8 MB.
const DefaultLimit = 1 << 15

// Table holds records until the streams can no longer be taken up. The zero value is ready to use, and it is safe for
// concurrent use.
type Table struct {
	// Limit is the maximum number of records; zero means DefaultLimit. Above it, the oldest are evicted.
	Limit int

	mu       sync.Mutex
	byStream map[Stream]*list.Element
	// records contains *entry values, oldest first.
	records list.List
	// counts is the number of records of each pin.
	counts  map[Pin]int
	evicted int64
}

// entry is a record in a table. Its addedAt and expiresAt are on the clock of the callers.
type entry struct {
	stream    Stream
	pin       Pin
	disputed  bool
	addedAt   time.Time
	expiresAt time.Time
}

// Put adds a record. One that contradicts an earlier record of the stream makes both useless.
func (t *Table) Put(now time.Time, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	expiresAt := now.Add(min(r.Left, MaxLifetime))
	if e, ok := t.byStream[r.Stream]; ok {
		known := e.Value.(*entry)
		known.disputed = known.disputed || known.pin != r.Pin
		if expiresAt.After(known.expiresAt) {
			known.expiresAt = expiresAt
		}
		return
	}
	if t.byStream == nil {
		t.byStream, t.counts = map[Stream]*list.Element{}, map[Pin]int{}
	}
	t.byStream[r.Stream] = t.records.PushBack(&entry{stream: r.Stream, pin: r.Pin, addedAt: now, expiresAt: expiresAt})
	t.counts[r.Pin]++
	for t.records.Len() > t.limit() {
		t.remove(t.records.Front())
		t.evicted++
	}
}

// maxOthers bounds the pins of other streams in an answer.
const maxOthers = 8

// Find returns what is known of a stream.
func (t *Table) Find(now time.Time, q Query) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.byStream[q.Stream]; ok && e.Value.(*entry).expiresAt.After(now) {
		known := e.Value.(*entry)
		return Answer{Found: true, Disputed: known.disputed, Pin: known.pin, Age: now.Sub(known.addedAt)}
	}
	return Answer{Others: t.pinsOf(q.Service)}
}

// pinsOf returns the pins of a service that have records. The caller must hold the lock.
func (t *Table) pinsOf(service rillreach.ServiceID) []Pin {
	var pins []Pin
	for pin := range t.counts {
		if pin.Service == service && len(pins) < maxOthers {
			pins = append(pins, pin)
		}
	}
	return pins
}

// Records returns all records, but for disputed ones, which are of no use.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for e := t.records.Front(); e != nil; e = e.Next() {
		if known := e.Value.(*entry); !known.disputed && known.expiresAt.After(now) {
			records = append(records, Record{Stream: known.stream, Pin: known.pin, Left: known.expiresAt.Sub(now)})
		}
	}
	return records
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Len()
}

// Evicted returns the number of records that were evicted before their time because there were too many.
func (t *Table) Evicted() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evicted
}

// expire removes expired records, oldest first, up to one that has not expired. The caller must hold the lock.
func (t *Table) expire(now time.Time) {
	for e := t.records.Front(); e != nil && !e.Value.(*entry).expiresAt.After(now); e = t.records.Front() {
		t.remove(e)
	}
}

// remove removes a record. The caller must hold the lock.
func (t *Table) remove(e *list.Element) {
	known := t.records.Remove(e).(*entry)
	delete(t.byStream, known.stream)
	if t.counts[known.pin]--; t.counts[known.pin] == 0 {
		delete(t.counts, known.pin)
	}
}

func (t *Table) limit() int {
	if t.Limit == 0 {
		return DefaultLimit
	}
	return t.Limit
}
