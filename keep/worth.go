package keep

import (
	"math"
	"time"

	"github.com/rillreach/rillreach"
)

// ImportInput is the input to the decision whether to read a prompt's state from stores or to recompute it.
type ImportInput struct {
	// Tokens is the length of the prompt, Cached the tokens in the engine's cache, Stored the tokens that stores have.
	Tokens int
	Cached int
	Stored int
	// Bytes is the amount of data to read, TransferTime the estimated time for it.
	Bytes        int64
	TransferTime time.Duration
	// QueueWait is how long the request waits for the engine anyway; a transfer during that time delays nothing.
	QueueWait time.Duration
	// PrefillRate is the number of tokens that the engine computes per second.
	PrefillRate float64
	// Objective is the configured objective of the account and model.
	Objective rillreach.Objective
}

// Verdict is a decision to import or export state, or the reason not to.
type Verdict string

// The verdicts on importing and exporting state.
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
	// defaultPrefillRate is the rate assumed for an engine that has reported none, in tokens a second.
	defaultPrefillRate = 4000
	// firstTokenTransferFactor and recomputeTransferFactor limit the time to read state under each objective, as a
	// multiple of the time to recompute it.
	firstTokenTransferFactor = 1.0
	recomputeTransferFactor  = 6.0
)

// Decide returns VerdictImport if the stored state should be read, otherwise the reason why not. Under
// ObjectiveRecompute, reading may take longer than recomputing, but at most recomputeTransferFactor times as long.
func (in ImportInput) Decide() Verdict {
	switch {
	case in.Stored <= in.Cached && in.Cached > 0:
		return VerdictCached
	case in.Stored <= in.Cached:
		return VerdictNotStored
	}
	rate := in.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	compute := seconds(float64(in.Stored-in.Cached) / rate)
	factor := firstTokenTransferFactor
	if in.Objective == rillreach.ObjectiveRecompute {
		factor = recomputeTransferFactor
	}
	if max(in.TransferTime-in.QueueWait, 0) > seconds(factor*compute.Seconds()) {
		return VerdictRecomputeFaster
	}
	return VerdictImport
}

// ReturnHistogram is a histogram of the time after which an account's prompts returned. Each bucket is twice as wide
// as the one before. Prompts that did not return are counted as lost.
type ReturnHistogram struct {
	counts [gapBuckets]float64
	lost   float64
}

const (
	gapBuckets = 24
	// minBucketGap is the lower limit of the first bucket, which also counts shorter gaps.
	minBucketGap = time.Second
	// priorReturns is the number of returns assumed before any was recorded, spread evenly over all buckets.
	priorReturns = 2.0
	// maxGapWeight is the total count at which all counts are halved, so that recent prompts weigh more.
	maxGapWeight = 2000.0
)

// RecordReturn records that a prompt returned after a gap.
func (h *ReturnHistogram) RecordReturn(gap time.Duration) {
	h.decay()
	h.counts[bucketOf(gap)]++
}

// RecordLoss records that a prompt was dropped before it returned.
func (h *ReturnHistogram) RecordLoss() {
	h.decay()
	h.lost++
}

// ReturnProbability estimates how likely a prompt returns within the given time since its last use, given that the
// elapsed part of that time has already passed.
func (h *ReturnHistogram) ReturnProbability(elapsed, within time.Duration) float64 {
	var returned, all float64
	from, to := bucketOf(elapsed), bucketOf(within)
	for bucket := range gapBuckets {
		count := h.counts[bucket] + priorReturns/gapBuckets
		if bucket < from {
			continue
		}
		all += count
		if bucket <= to {
			returned += count
		}
	}
	all += h.lost + priorReturns/2
	return returned / all
}

// decay halves all counts once their total reaches maxGapWeight.
func (h *ReturnHistogram) decay() {
	total := h.lost
	for _, c := range h.counts {
		total += c
	}
	if total < maxGapWeight {
		return
	}
	h.lost /= 2
	for bucket := range h.counts {
		h.counts[bucket] /= 2
	}
}

func bucketOf(gap time.Duration) int {
	if gap <= minBucketGap {
		return 0
	}
	return min(int(math.Log2(float64(gap)/float64(minBucketGap))), gapBuckets-1)
}

// ExportInput is the input to the decision whether state is worth writing to a store.
type ExportInput struct {
	// Tokens is the number of the prompt's tokens that are not stored yet.
	Tokens int
	// Bytes is the amount of data to write.
	Bytes int64
	// ReturnProbability is the probability that the prompt returns while a store still has it.
	ReturnProbability float64
	// PrefillRate is the number of tokens that the engine computes per second, LinkRate the link's rate in bytes a
	// second.
	PrefillRate float64
	LinkRate    float64
}

// minExportTokens is the minimum number of tokens worth a block of their own.
const minExportTokens = 64

// Decide returns VerdictExport if the state should be written, otherwise the reason why not. The time that the state is
// expected to save when the prompt returns has to exceed the expected cost of a write that is never read.
func (in ExportInput) Decide() Verdict {
	if in.Tokens < minExportTokens {
		return VerdictTooSmall
	}
	prefill, link := in.PrefillRate, in.LinkRate
	if prefill <= 0 {
		prefill = defaultPrefillRate
	}
	if link <= 0 {
		link = DefaultLinkRate
	}
	transfer := float64(in.Bytes) / link
	saved := float64(in.Tokens)/prefill - transfer
	if in.ReturnProbability*saved <= transfer*(1-in.ReturnProbability)*backgroundTimeCost {
		return VerdictReturnUnlikely
	}
	return VerdictExport
}

// backgroundTimeCost is the cost of a second of background transfer relative to a second of a caller's waiting time.
const backgroundTimeCost = 0.1
