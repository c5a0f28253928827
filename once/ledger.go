package once

import (
	"container/heap"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

// DefaultLedgerBytes is the default memory limit of a ledger.
const DefaultLedgerBytes = 64 << 20

// entryOverheadBytes is the estimated memory of an entry without its response body.
const entryOverheadBytes = 256

// Outcome is the result of a request that was run: either a refusal or a response.
type Outcome struct {
	// Refusal is set if there is no response.
	Refusal *rillreach.Refusal
	// Status, Header and Body are the response.
	Status int
	Header map[string][]string
	Body   []byte
}

func (o Outcome) size() int64 {
	return int64(len(o.Body) + entryOverheadBytes)
}

// Claim asks for permission to run a request at most once.
type Claim struct {
	// Name identifies the request within the ledger.
	Name string
	// Fingerprint is a hash of the request's contents.
	Fingerprint [32]byte
	// Expires is the time from which the ledger accepts no new claim of this name.
	Expires time.Time
}

// ClaimResult is the result of a claim. Exactly one of Run, Settled and Refusal is set.
type ClaimResult struct {
	// Run means that the claimant alone must run the request and then call Ledger.Settle.
	Run bool
	// Settled is set if another claimant runs, or has run, the request. It is closed once the outcome is available.
	Settled <-chan struct{}
	// Refusal is set if the claim is refused.
	Refusal *rillreach.Refusal

	entry *entry
}

// Outcome returns the outcome of the request. It may be called only once Settled is closed.
func (r ClaimResult) Outcome() Outcome {
	return r.entry.outcome
}

// Ledger stores the claims and outcomes of at-most-once requests for one incarnation of an agent. It refuses claims
// whose entries it may have evicted, so that none of them runs again. The zero value is ready to use, and it is safe
// for concurrent use.
type Ledger struct {
	// MaxBytes is the memory limit; zero means DefaultLedgerBytes.
	MaxBytes int64

	mu      sync.Mutex
	entries map[string]*entry
	expiry  expiryHeap
	// expiryFloor is the time up to which entries may have been evicted: claims that expire by then are refused.
	expiryFloor time.Time
	bytes       int64
}

// entry is a claim and, once done, its outcome.
type entry struct {
	claim     Claim
	outcome   Outcome
	settled   chan struct{}
	done      bool
	heapIndex int
}

// Claim decides whether a request may run. A repeated claim gets the outcome of the first one.
func (l *Ledger) Claim(now time.Time, c Claim) ClaimResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictExpired(now)
	if e := l.entries[c.Name]; e != nil {
		return e.result(c)
	}
	if !c.Expires.After(l.expiryFloor) {
		return ClaimResult{Refusal: rillreach.MayHaveRun(rillreach.ReasonExpired, "request's identity has expired; it may have been run")}
	}
	if l.bytes+entryOverheadBytes > l.maxBytes() {
		return ClaimResult{Refusal: rillreach.NotRun(rillreach.ReasonOverload, "too many outcomes are being remembered").WithRetryAfter(l.retryAfter(now))}
	}
	l.add(c)
	return ClaimResult{Run: true}
}

// Settle records the outcome of a request that a claimant was told to run. If the outcome is a refusal because the
// request has not run, the name can be claimed again.
func (l *Ledger) Settle(name string, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[name]
	if e == nil || e.done {
		return
	}
	e.done = true
	e.outcome = outcome
	close(e.settled)
	if r := outcome.Refusal; r != nil && r.Outcome == rillreach.OutcomeNotRun {
		l.remove(e)
		return
	}
	l.bytes += outcome.size() - entryOverheadBytes
}

// Bytes returns the estimated memory in use.
func (l *Ledger) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (e *entry) result(c Claim) ClaimResult {
	if e.claim.Fingerprint != c.Fingerprint {
		return ClaimResult{Refusal: rillreach.NotRun(rillreach.ReasonKeyReused, "key or ticket was used before for another request")}
	}
	return ClaimResult{Settled: e.settled, entry: e}
}

func (l *Ledger) maxBytes() int64 {
	if l.MaxBytes == 0 {
		return DefaultLedgerBytes
	}
	return l.MaxBytes
}

// retryAfter returns the time until the next entry expires, and at least one second.
func (l *Ledger) retryAfter(now time.Time) time.Duration {
	if len(l.expiry) == 0 {
		return time.Second
	}
	return max(l.expiry[0].claim.Expires.Sub(now), time.Second)
}

func (l *Ledger) add(c Claim) {
	if l.entries == nil {
		l.entries = map[string]*entry{}
	}
	e := &entry{claim: c, settled: make(chan struct{})}
	l.entries[c.Name] = e
	heap.Push(&l.expiry, e)
	l.bytes += entryOverheadBytes
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.claim.Name)
	heap.Remove(&l.expiry, e.heapIndex)
	l.bytes -= entryOverheadBytes
}

// evictExpired removes settled entries that have expired. It raises expiryFloor first, so that claims of the removed
// entries are refused even if the clock goes back.
func (l *Ledger) evictExpired(now time.Time) {
	if now.After(l.expiryFloor) {
		l.expiryFloor = now
	}
	for len(l.expiry) > 0 && !l.expiry[0].claim.Expires.After(l.expiryFloor) && l.expiry[0].done {
		e := heap.Pop(&l.expiry).(*entry)
		delete(l.entries, e.claim.Name)
		l.bytes -= e.outcome.size()
	}
}

// expiryHeap orders entries by the time at which they expire.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].claim.Expires.Before(h[j].claim.Expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
