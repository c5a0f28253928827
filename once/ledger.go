package once

import (
	"container/heap"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
)

// DefaultLedgerBytes bounds what a ledger remembers, in bytes.
const DefaultLedgerBytes = 64 << 20

const entryOverhead = 256

// Outcome is what became of a request that was let run.
type Outcome struct {
	// Refusal is set when there is no answer.
	Refusal *rillreach.Refusal
	// Status, Header and Body are the answer.
	Status int
	Header map[string][]string
	Body   []byte
}

func (o Outcome) size() int64 {
	return int64(len(o.Body) + entryOverhead)
}

// Claim is a request that wants to run once.
type Claim struct {
	// Name identifies the request among all that the ledger can see.
	Name string
	// Fingerprint is a hash of what the request asks for.
	Fingerprint [32]byte
	// Expires is when the request's identity ends; no claim of that name is taken from then on.
	Expires time.Time
}

// ClaimResult is the ledger's answer to a claim.
type ClaimResult struct {
	// Run says that the claimant, and nobody else, has to run the request and Settle it.
	Run bool
	// Settled is closed once the outcome of the running request is there.
	Settled <-chan struct{}
	// Refusal is set when the claim is refused.
	Refusal *rillreach.Refusal

	entry *entry
}

// Outcome returns the outcome once Settled is closed.
func (p ClaimResult) Outcome() Outcome {
	return p.entry.outcome
}

// Ledger is one incarnation's memory of the requests it was given to run once. What it forgets it also refuses.
type Ledger struct {
	// MaxBytes bounds the memory; zero means DefaultLedgerBytes.
	MaxBytes int64

	mu      sync.Mutex
	entries map[string]*entry
	expiry  expiryHeap
	floor   time.Time
	bytes   int64
}

type entry struct {
	claim   Claim
	outcome Outcome
	settled chan struct{}
	done    bool
	index   int
}

// Claim decides whether a request may run.
func (l *Ledger) Claim(now time.Time, c Claim) ClaimResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	if e := l.entries[c.Name]; e != nil {
		return e.permit(c)
	}
	if !c.Expires.After(l.floor) {
		return ClaimResult{Refusal: rillreach.Unknown(rillreach.ReasonExpired, "request's identity has expired; it may have been run")}
	}
	if l.bytes+entryOverhead > l.limit() {
		return ClaimResult{Refusal: rillreach.NotRun(rillreach.ReasonOverload, "too many outcomes are being remembered").After(l.room(now))}
	}
	l.add(c)
	return ClaimResult{Run: true}
}

// Settle records the outcome of a request that was let run; a refusal that says it was not run frees the name again.
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
		l.drop(e)
		return
	}
	l.bytes += outcome.size() - entryOverhead
}

// Bytes is the memory in use.
func (l *Ledger) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (e *entry) permit(c Claim) ClaimResult {
	if e.claim.Fingerprint != c.Fingerprint {
		return ClaimResult{Refusal: rillreach.NotRun(rillreach.ReasonKeyReused, "key or ticket was used before for another request")}
	}
	return ClaimResult{Settled: e.settled, entry: e}
}

func (l *Ledger) limit() int64 {
	if l.MaxBytes == 0 {
		return DefaultLedgerBytes
	}
	return l.MaxBytes
}

// room is when the next entry is forgotten.
func (l *Ledger) room(now time.Time) time.Duration {
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
	l.bytes += entryOverhead
}

func (l *Ledger) drop(e *entry) {
	delete(l.entries, e.claim.Name)
	heap.Remove(&l.expiry, e.index)
	l.bytes -= entryOverhead
}

// forget drops the settled entries whose time has passed, and raises the floor first, so that none of them is taken again.
func (l *Ledger) forget(now time.Time) {
	if now.After(l.floor) {
		l.floor = now
	}
	for len(l.expiry) > 0 && !l.expiry[0].claim.Expires.After(l.floor) && l.expiry[0].done {
		e := heap.Pop(&l.expiry).(*entry)
		delete(l.entries, e.claim.Name)
		l.bytes -= e.outcome.size()
	}
}

type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].claim.Expires.Before(h[j].claim.Expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
