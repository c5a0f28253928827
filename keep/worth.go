package keep

import (
	"math"
	"time"

	"github.com/rillreach/rillreach"
)

// ImportInput is the question whether to read kept state or to compute it again.
type ImportInput struct {
	// Tokens is the length of the prompt, Cached what the engine holds of it, Kept what could be read.
	Tokens int
	Cached int
	Stored int
	// Bytes is what reading it would carry over the link, Transfer how long that would take.
	Bytes        int64
	TransferTime time.Duration
	// QueueWait is how long the request waits for its turn anyway.
	QueueWait time.Duration
	// PrefillRate is the tokens a second that the engine computes.
	PrefillRate float64
	// Objective is the row's.
	Objective rillreach.Objective
}

// Verdict is a decision about kept state with its reason.
type Verdict string

// The verdicts on kept state.
const (
	VerdictImport          Verdict = "import"
	VerdictCached          Verdict = "cached"
	VerdictNotStored       Verdict = "nothing-kept"
	VerdictRecomputeFaster Verdict = "recompute-is-faster"
	VerdictExport          Verdict = "export"
	VerdictTooSmall        Verdict = "too-small"
	VerdictReturnUnlikely  Verdict = "return-unlikely"
	VerdictAlreadyStored   Verdict = "already-kept"
)

const (
	defaultPrefill = 4000
	// patienceFirst and patienceRecompute are how many times the time of computing again reading may take.
	patienceFirst     = 1.0
	patienceRecompute = 6.0
)

// Decide says whether to import. Under the objective of little recomputation reading may take longer than computing
// again would, but not without bound.
func (i ImportInput) Decide() Verdict {
	switch {
	case i.Stored <= i.Cached && i.Cached > 0:
		return VerdictCached
	case i.Stored <= i.Cached:
		return VerdictNotStored
	}
	rate := i.PrefillRate
	if rate <= 0 {
		rate = defaultPrefill
	}
	compute := secondsOf(float64(i.Stored-i.Cached) / rate)
	patience := patienceFirst
	if i.Objective == rillreach.ObjectiveRecompute {
		patience = patienceRecompute
	}
	if max(i.TransferTime-i.QueueWait, 0) > secondsOf(patience*compute.Seconds()) {
		return VerdictRecomputeFaster
	}
	return VerdictImport
}

// ReturnHistogram is a histogram of how long an account's prompts took to return, on a scale that doubles from step to step.
type ReturnHistogram struct {
	counts [gapSteps]float64
	lost   float64
}

const (
	gapSteps = 24
	gapFirst = time.Second
	// gapPrior is how many returns are taken for granted before anything was seen, spread over all steps.
	gapPrior = 2.0
	// gapMemory is how many prompts the histogram remembers about.
	gapMemory = 2000.0
)

// RecordReturn notes that a prompt came back after a gap.
func (g *ReturnHistogram) RecordReturn(gap time.Duration) {
	g.fade()
	g.counts[stepOf(gap)]++
}

// RecordLoss notes that a prompt was given up on.
func (g *ReturnHistogram) RecordLoss() {
	g.fade()
	g.lost++
}

// ReturnProbability is how likely a prompt comes back before some time from now, given how long it has been away.
func (g *ReturnHistogram) ReturnProbability(away, within time.Duration) float64 {
	var before, all float64
	from, to := stepOf(away), stepOf(within)
	for step := range gapSteps {
		count := g.counts[step] + gapPrior/gapSteps
		if step < from {
			continue
		}
		all += count
		if step <= to {
			before += count
		}
	}
	all += g.lost + gapPrior/2
	return before / all
}

func (g *ReturnHistogram) fade() {
	total := g.lost
	for _, c := range g.counts {
		total += c
	}
	if total < gapMemory {
		return
	}
	g.lost /= 2
	for step := range g.counts {
		g.counts[step] /= 2
	}
}

func stepOf(gap time.Duration) int {
	if gap <= gapFirst {
		return 0
	}
	return min(int(math.Log2(float64(gap)/float64(gapFirst))), gapSteps-1)
}

// ExportInput is the question whether state is worth writing to a store.
type ExportInput struct {
	// Tokens is how much of the prompt is not kept yet.
	Tokens int
	// Bytes is what writing it would carry.
	Bytes int64
	// ReturnProbability is how likely the prompt comes back while a store still holds it.
	ReturnProbability float64
	// PrefillRate is the tokens a second that the engine computes, LinkRate the bytes a second that the link carries.
	PrefillRate float64
	LinkRate    float64
}

// minExport is the fewest tokens that are worth a block of their own.
const minExport = 64

// Decide says whether to export: the time that reading it would save, by the chance of its return, has to be more than
// the link is taken up by writing it.
func (e ExportInput) Decide() Verdict {
	if e.Tokens < minExport {
		return VerdictTooSmall
	}
	prefill, link := e.PrefillRate, e.LinkRate
	if prefill <= 0 {
		prefill = defaultPrefill
	}
	if link <= 0 {
		link = DefaultLinkRate
	}
	transfer := float64(e.Bytes) / link
	saved := float64(e.Tokens)/prefill - transfer
	if e.ReturnProbability*saved <= transfer*(1-e.ReturnProbability)*backgroundCost {
		return VerdictReturnUnlikely
	}
	return VerdictExport
}

// backgroundCost is what a second of the link in the background costs against a second of a caller's waiting.
const backgroundCost = 0.1
