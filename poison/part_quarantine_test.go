package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

var (
	opening      = Fingerprint{1}
	fatal        = Fingerprint{2}
	conversation = Fingerprint{3}
	shop         = Fingerprint{4}
	otherShop    = Fingerprint{5}
	partsStart   = time.Unix(1000, 0)
)

// crashTime returns the time of the crash with the given number.
func crashTime(number int) time.Time { return partsStart.Add(time.Duration(number) * time.Second) }

// crashUnder returns what an entry reports if a run ends under a request of the account with the parts.
func crashUnder(run int, account Fingerprint, parts ...Fingerprint) []Crash {
	var crashes []Crash
	for i, part := range parts {
		crashes = append(crashes, Crash{Request: part, Runner: rillreach.InstanceID(fmt.Sprint("r", run)), Depth: i + 1, Account: account})
	}
	return crashes
}

// recordRuns records that runs end one after the other under requests of the account with the parts.
func recordRuns(t *Tracker, from, to int, account Fingerprint, parts ...Fingerprint) {
	for run := from; run < to; run++ {
		t.Record(crashTime(run), crashUnder(run, account, parts...)...)
	}
}

func isHeldBack(t *Tracker, now time.Time, account Fingerprint, parts ...Fingerprint) bool {
	_, held := t.QuarantinedPart(now, parts, account)
	return held
}

func TestPartQuarantine(t *testing.T) {
	now := crashTime(100)
	t.Run("a part under which enough runs have ended is held back, the other parts are not", func(t *testing.T) {
		var tracker Tracker
		tracker.RecordPartAnswers(partsStart, []Fingerprint{opening})
		recordRuns(&tracker, 0, MaxPartCrashes-1, shop, opening, fatal, conversation)
		assert.False(t, isHeldBack(&tracker, crashTime(3), shop, fatal))
		recordRuns(&tracker, MaxPartCrashes-1, MaxPartCrashes+1, shop, opening, fatal)
		assert.True(t, isHeldBack(&tracker, crashTime(6), shop, opening, fatal))
		assert.False(t, isHeldBack(&tracker, crashTime(6), shop, opening, conversation))
	})
	t.Run("parts that have always been together are held back together, until one of them has come alone", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, MaxPartCrashes, shop, opening, fatal, conversation)
		assert.True(t, isHeldBack(&tracker, now, shop, opening, fatal, conversation))
		assert.False(t, isHeldBack(&tracker, now, shop, opening, conversation))
		assert.False(t, isHeldBack(&tracker, now, shop, opening, fatal))
		recordRuns(&tracker, MaxPartCrashes, MaxPartCrashes+1, shop, opening, fatal)
		recordRuns(&tracker, MaxPartCrashes+1, MaxPartCrashes+2, shop, fatal)
		assert.True(t, isHeldBack(&tracker, now, shop, fatal))
		assert.False(t, isHeldBack(&tracker, now, shop, opening, conversation))
	})
	t.Run("an answer on a part that comes alone leaves the others held back", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, MaxPartCrashes, shop, opening, fatal, conversation)
		tracker.RecordPartAnswers(crashTime(5), []Fingerprint{opening, conversation})
		assert.True(t, isHeldBack(&tracker, now, shop, opening, fatal))
		assert.False(t, isHeldBack(&tracker, now, shop, opening, conversation))
	})
	t.Run("runs that end together count as one crash", func(t *testing.T) {
		var tracker Tracker
		for run := range 4 * MaxPartCrashes {
			tracker.Record(partsStart.Add(time.Duration(run)*time.Millisecond), crashUnder(run, shop, opening)...)
		}
		assert.False(t, isHeldBack(&tracker, partsStart.Add(time.Second), shop, opening))
	})
	t.Run("an answer clears a part", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, MaxPartCrashes, shop, opening)
		assert.Len(t, tracker.RecordPartAnswers(crashTime(5), []Fingerprint{opening}), MaxPartCrashes)
		assert.False(t, isHeldBack(&tracker, crashTime(5), shop, opening))
		recordRuns(&tracker, 6, 6+MaxPartCrashes-1, shop, opening)
		assert.False(t, isHeldBack(&tracker, crashTime(10), shop, opening), "crashes before the answer count")
	})
	t.Run("crashes under a request that is quarantined itself don't count against its parts", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, MaxPartCrashes, shop, opening)
		for run := range MaxPartCrashes {
			tracker.Record(crashTime(run), Crash{Request: Fingerprint{9}, Runner: rillreach.InstanceID(fmt.Sprint("r", run))})
		}
		assert.False(t, isHeldBack(&tracker, now, shop, opening))
	})
	t.Run("crashes under a quarantined part don't count against requests that ran there", func(t *testing.T) {
		var tracker Tracker
		popular := Fingerprint{9}
		tracker.RecordAnswer(partsStart, popular)
		for run := range MaxPartCrashes {
			tracker.Record(crashTime(run), Crash{Request: popular, Runner: rillreach.InstanceID(fmt.Sprint("r", run))})
		}
		assert.True(t, tracker.Quarantined(now, popular))
		recordRuns(&tracker, 0, MaxPartCrashes, shop, opening, fatal)
		assert.True(t, isHeldBack(&tracker, now, shop, opening, fatal))
		assert.False(t, tracker.Quarantined(now, popular))
		assert.Equal(t, VerdictSend, tracker.Decide(now, popular))
	})
	t.Run("a part that was answered before is held back for a shorter time, and again after one more crash", func(t *testing.T) {
		var tracker Tracker
		tracker.RecordPartAnswers(partsStart, []Fingerprint{opening})
		recordRuns(&tracker, 1, 1+MaxPartCrashes, shop, opening)
		later := crashTime(MaxPartCrashes).Add(answeredPartHold)
		assert.True(t, isHeldBack(&tracker, later.Add(-1), shop, opening))
		assert.False(t, isHeldBack(&tracker, later, shop, opening))
		tracker.Record(later, crashUnder(MaxPartCrashes+1, shop, opening)...)
		assert.True(t, isHeldBack(&tracker, later, shop, opening))
	})
	t.Run("a part that was answered before is not held back for several that were not", func(t *testing.T) {
		var tracker Tracker
		tracker.RecordPartAnswers(partsStart, []Fingerprint{opening})
		for run := range 3 * SuspectPartCrashes {
			recordRuns(&tracker, run, run+1, shop, opening, Fingerprint{20, byte(run % 3)})
		}
		assert.False(t, isHeldBack(&tracker, crashTime(10), shop, opening))
	})
	t.Run("crashes are forgotten after a while", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, MaxPartCrashes, shop, opening)
		assert.True(t, isHeldBack(&tracker, crashTime(0).Add(Window-time.Second), shop, opening))
		assert.False(t, isHeldBack(&tracker, crashTime(MaxPartCrashes).Add(Window), shop, opening))
	})
}

func TestPartOfOneAccount(t *testing.T) {
	now := crashTime(100)
	t.Run("is not held back for another one", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, 2*MaxPartCrashes, shop, opening)
		assert.True(t, isHeldBack(&tracker, now, shop, opening))
		assert.False(t, isHeldBack(&tracker, now, otherShop, opening))
	})
	t.Run("is held back for all once it crashes a runner for another one, too", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, MaxPartCrashes, shop, opening)
		recordRuns(&tracker, MaxPartCrashes, MaxPartCrashes+1, otherShop, opening)
		assert.True(t, isHeldBack(&tracker, now, Fingerprint{7}, opening))
	})
}

func TestSuspectedPart(t *testing.T) {
	suspected := func(t *Tracker) bool {
		_, found := t.SuspectedPart(crashTime(10), []Fingerprint{opening})
		return found
	}
	t.Run("one crash is no reason to deny a second attempt, two are", func(t *testing.T) {
		var tracker Tracker
		recordRuns(&tracker, 0, 1, shop, opening)
		assert.False(t, suspected(&tracker))
		recordRuns(&tracker, 1, 2, shop, opening)
		assert.True(t, suspected(&tracker))
	})
	t.Run("a part that was answered before is none", func(t *testing.T) {
		var tracker Tracker
		tracker.RecordPartAnswers(partsStart, []Fingerprint{opening})
		recordRuns(&tracker, 0, 3, shop, opening)
		assert.False(t, suspected(&tracker))
	})
}

func TestPartVerdictsDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			at      time.Time
			crashes []Crash
		}
		var reports []report
		parts := []Fingerprint{opening, fatal, conversation}
		for run := range rapid.IntRange(1, 8).Draw(t, "runs") {
			for range rapid.IntRange(1, 3).Draw(t, "requests") {
				account := rapid.SampledFrom([]Fingerprint{shop, otherShop}).Draw(t, "account")
				some := rapid.SliceOfNDistinct(rapid.SampledFrom(parts), 1, 3, rapid.ID[Fingerprint]).Draw(t, "parts")
				reports = append(reports, report{crashTime(run), crashUnder(run, account, some...)})
			}
		}
		now := crashTime(20)
		var first, second Tracker
		for _, r := range reports {
			first.Record(r.at, r.crashes...)
		}
		for _, r := range rapid.Permutation(reports).Draw(t, "order") {
			late := slices.Clone(r.crashes)
			for i := range late {
				late[i].Age = now.Sub(r.at)
			}
			second.Record(now, late...)
			second.Record(now, late...)
		}
		for _, part := range parts {
			assert.Equal(t, isHeldBack(&first, now, shop, part), isHeldBack(&second, now, shop, part))
		}
	})
}

func TestQuarantinedPartSurvivesManyCrashes(t *testing.T) {
	tracker := Tracker{Limit: 64}
	recordRuns(&tracker, 0, 2*MaxPartCrashes, shop, fatal)
	for i := range 400 {
		tracker.Record(crashTime(20), crashUnder(100+i, shop, Fingerprint{10, byte(i), byte(i >> 8)})...)
	}
	assert.True(t, isHeldBack(&tracker, crashTime(21), shop, fatal))
	assert.LessOrEqual(t, tracker.records.Len(), tracker.Limit)
	assert.LessOrEqual(t, len(tracker.suspectedParts), tracker.Limit)
}
