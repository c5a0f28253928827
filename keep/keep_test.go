package keep

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

var (
	start = time.Unix(1_700_000_000, 0)
	scope = Scope{Account: "a", Model: "m", Version: "v"}
)

func TestKeyDeriver(t *testing.T) {
	deriver := NewKeyDeriver([]byte("secret"))
	parts := [][]byte{[]byte("one"), []byte("two")}
	for name, other := range map[string]Scope{
		"account": {Account: "b", Model: "m", Version: "v"},
		"model":   {Account: "a", Model: "n", Version: "v"},
		"version": {Account: "a", Model: "m", Version: "w"},
		"shift":   {Account: "am", Model: "", Version: "v"},
	} {
		t.Run("another "+name+" shares no key", func(t *testing.T) {
			ours, theirs := deriver.BlockKeys(scope, parts), deriver.BlockKeys(other, parts)
			for i := range ours {
				assert.NotEqual(t, ours[i], theirs[i])
			}
			assert.NotEqual(t, deriver.CacheSalt(scope, ""), deriver.CacheSalt(other, ""))
		})
	}
	t.Run("a longer prompt has the same keys for its prefix", func(t *testing.T) {
		assert.Equal(t, deriver.BlockKeys(scope, parts)[0], deriver.BlockKeys(scope, parts[:1])[0])
	})
	t.Run("a salt supplied by the caller divides the scope", func(t *testing.T) {
		assert.NotEqual(t, deriver.CacheSalt(scope, "x"), deriver.CacheSalt(scope, "y"))
	})
}

// TestBlockKeysDifferByScopeAndPrompt checks that the keys of two whole prompts are equal only if both the scopes and
// the prompts are.
func TestBlockKeysDifferByScopeAndPrompt(t *testing.T) {
	deriver := NewKeyDeriver([]byte("secret"))
	draw := func(rt *rapid.T, name string) (Scope, [][]byte) {
		text := rapid.StringMatching(`[ab/]{0,3}`)
		s := Scope{
			Account: rillreach.AccountID(text.Draw(rt, name+" account")),
			Model:   rillreach.ModelID(text.Draw(rt, name+" model")),
			Version: rillreach.VersionID(text.Draw(rt, name+" version")),
		}
		return s, rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 3), 1, 3).Draw(rt, name+" parts")
	}
	rapid.Check(t, func(rt *rapid.T) {
		s1, p1 := draw(rt, "first")
		s2, p2 := draw(rt, "second")
		same := s1 == s2 && assert.ObjectsAreEqual(p1, p2)
		k1, k2 := deriver.BlockKeys(s1, p1), deriver.BlockKeys(s2, p2)
		require.Equal(rt, same, k1[len(k1)-1] == k2[len(k2)-1])
	})
}

func sealed(t require.TestingT, b Block) []byte {
	data, err := NewSealer([]byte("secret")).Seal(b)
	require.NoError(t, err)
	return data
}

// TestSealerRejectsModifiedBlock truncates a sealed block at any length or changes any byte of it.
func TestSealerRejectsModifiedBlock(t *testing.T) {
	s := NewSealer([]byte("secret"))
	b := Block{Key: rillreach.BlockKey{1}, From: 0, To: 10, Payload: []byte("some state of an engine")}
	data := sealed(t, b)
	got, err := s.Open(data, b.Key)
	require.NoError(t, err)
	require.Equal(t, b, got)
	rapid.Check(t, func(rt *rapid.T) {
		at := rapid.IntRange(0, len(data)-1).Draw(rt, "at")
		changed := append([]byte(nil), data...)
		if rapid.Bool().Draw(rt, "cut") {
			changed = changed[:at]
		} else {
			changed[at] ^= byte(rapid.IntRange(1, 255).Draw(rt, "change"))
		}
		_, err := s.Open(changed, b.Key)
		require.ErrorIs(rt, err, ErrInvalidBlock)
	})
	t.Run("another block is refused", func(t *testing.T) {
		_, err := s.Open(data, rillreach.BlockKey{2})
		assert.ErrorIs(t, err, ErrInvalidBlock)
	})
	t.Run("another fleet's block is refused", func(t *testing.T) {
		_, err := NewSealer([]byte("another")).Open(data, b.Key)
		assert.ErrorIs(t, err, ErrInvalidBlock)
	})
}

func FuzzOpen(f *testing.F) {
	b := Block{Key: rillreach.BlockKey{1}, To: 1}
	f.Add(sealed(f, b))
	f.Add([]byte{})
	s := NewSealer([]byte("secret"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := s.Open(data, b.Key); err == nil {
			assert.Equal(t, b.Key, got.Key)
		}
	})
}

func TestCacheEstimate(t *testing.T) {
	keys := []rillreach.BlockKey{{1}, {2}, {3}}
	filled := func() *CacheEstimate {
		r := &CacheEstimate{}
		r.ApplyEvents(EventPage{Incarnation: "one", Next: 5})
		r.Add(keys[0], "salt", 10)
		r.Add(keys[1], "salt", 20)
		return r
	}
	assertHeld := func(t *testing.T, r *CacheEstimate, parts, tokens int) {
		t.Helper()
		gotParts, gotTokens := r.LongestPrefix(keys)
		assert.Equal(t, parts, gotParts)
		assert.Equal(t, tokens, gotTokens)
	}
	t.Run("the longest prefix is found", func(t *testing.T) { assertHeld(t, filled(), 2, 20) })
	t.Run("an event evicts the oldest prompt of its salt", func(t *testing.T) {
		r := filled()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 5, Salt: "salt"}, {Sequence: 6, Salt: "salt"}}, Next: 7})
		assertHeld(t, r, 0, 0)
	})
	t.Run("an event of another salt evicts nothing", func(t *testing.T) {
		r := filled()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 5, Salt: "other"}}, Next: 6})
		assertHeld(t, r, 2, 20)
	})
	t.Run("a repeated event changes nothing", func(t *testing.T) {
		r := filled()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 4, Salt: "salt"}}, Next: 5})
		assertHeld(t, r, 2, 20)
	})
	t.Run("a gap discards everything", func(t *testing.T) {
		r := filled()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 9, Salt: "other"}}, Next: 10})
		assertHeld(t, r, 0, 0)
	})
	t.Run("a gap at the end discards everything", func(t *testing.T) {
		r := filled()
		r.ApplyEvents(EventPage{Incarnation: "one", Next: 9})
		assertHeld(t, r, 0, 0)
	})
	t.Run("a new incarnation discards everything", func(t *testing.T) {
		r := filled()
		r.ApplyEvents(EventPage{Incarnation: "two", Next: 0})
		assertHeld(t, r, 0, 0)
	})
}

func TestLink(t *testing.T) {
	t.Run("the backoff of a link grows with each failure", func(t *testing.T) {
		l := &Link{}
		l.EndImport(start, 0, 0, false)
		assert.False(t, l.Usable(start))
		assert.True(t, l.Usable(start.Add(initialBackoff)))
		l.EndImport(start, 0, 0, false)
		assert.False(t, l.Usable(start.Add(initialBackoff)))
	})
	t.Run("a transfer updates the estimate", func(t *testing.T) {
		l := &Link{}
		l.BeginImport(1000)
		l.EndImport(start, 1000, time.Second, true)
		assert.InDelta(t, 2, l.EstimateImport(2000).Seconds(), 1e-9)
	})
	t.Run("no background transfer starts during an import", func(t *testing.T) {
		l := &Link{}
		l.BeginImport(1)
		assert.False(t, l.TryBeginBackground(1))
	})
}

func TestImportDecide(t *testing.T) {
	faster := ImportInput{Tokens: 1000, Stored: 1000, PrefillRate: 1000, TransferTime: 500 * time.Millisecond, Objective: rillreach.ObjectiveFirstToken}
	assertVerdict := func(t *testing.T, i ImportInput, v Verdict) {
		t.Helper()
		assert.Equal(t, v, i.Decide())
	}
	slower, cached, notStored, queued := faster, faster, faster, faster
	slower.TransferTime = 2 * time.Second
	cached.Cached = 1000
	notStored.Stored = 0
	queued.TransferTime, queued.QueueWait = 2*time.Second, 2*time.Second
	recompute := slower
	recompute.Objective = rillreach.ObjectiveRecompute
	tooSlow := recompute
	tooSlow.TransferTime = time.Minute
	t.Run("import if reading is faster", func(t *testing.T) { assertVerdict(t, faster, VerdictImport) })
	t.Run("recompute if reading is slower", func(t *testing.T) { assertVerdict(t, slower, VerdictRecomputeFaster) })
	t.Run("a transfer within the queue wait costs nothing", func(t *testing.T) { assertVerdict(t, queued, VerdictImport) })
	t.Run("the recompute objective accepts some delay", func(t *testing.T) { assertVerdict(t, recompute, VerdictImport) })
	t.Run("the recompute objective does not accept an unlimited delay", func(t *testing.T) { assertVerdict(t, tooSlow, VerdictRecomputeFaster) })
	t.Run("cached state is not imported", func(t *testing.T) { assertVerdict(t, cached, VerdictCached) })
	t.Run("nothing stored, nothing imported", func(t *testing.T) { assertVerdict(t, notStored, VerdictNotStored) })
}

func TestReturnHistogram(t *testing.T) {
	t.Run("an account whose prompts return is expected to return", func(t *testing.T) {
		returning, never := &ReturnHistogram{}, &ReturnHistogram{}
		for range 100 {
			returning.RecordReturn(time.Hour)
			never.RecordLoss()
		}
		assert.Greater(t, returning.ReturnProbability(0, 24*time.Hour), 0.9)
		assert.Less(t, never.ReturnProbability(0, 24*time.Hour), 0.1)
	})
	t.Run("a prompt that is away longer than any before is not expected to return", func(t *testing.T) {
		histogram := &ReturnHistogram{}
		for range 100 {
			histogram.RecordReturn(time.Minute)
			histogram.RecordLoss()
		}
		assert.Less(t, histogram.ReturnProbability(24*time.Hour, 48*time.Hour), 0.1)
	})
}

func TestExportDecide(t *testing.T) {
	worth := ExportInput{Tokens: 10_000, Bytes: 10 << 20, ReturnProbability: 0.5, PrefillRate: 4000, LinkRate: 100 << 20}
	small, unlikely := worth, worth
	small.Tokens = 1
	unlikely.ReturnProbability = 0
	assert.Equal(t, VerdictExport, worth.Decide())
	assert.Equal(t, VerdictTooSmall, small.Decide())
	assert.Equal(t, VerdictReturnUnlikely, unlikely.Decide())
}

// TestSplitAndJoin splits a block and joins it again. Join has to reject a set with a missing stripe or with a stripe
// of another write.
func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := Block{Key: rillreach.BlockKey{1}, To: 5, Generation: "one", Payload: rapid.SliceOf(rapid.Byte()).Draw(rt, "payload")}
		count := rapid.IntRange(1, 4).Draw(rt, "count")
		stripes := b.Split(count)
		joined, err := Join(stripes)
		require.NoError(rt, err)
		require.Equal(rt, string(b.Payload), string(joined.Payload))
		if count == 1 {
			return
		}
		at := rapid.IntRange(0, count-1).Draw(rt, "at")
		_, err = Join(append(append([]Block{}, stripes[:at]...), stripes[at+1:]...))
		require.ErrorIs(rt, err, ErrInvalidBlock)
		other := append([]Block{}, stripes...)
		other[at].Generation = "two"
		_, err = Join(other)
		require.ErrorIs(rt, err, ErrInvalidBlock)
	})
}
