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

func TestNamer(t *testing.T) {
	n := NewKeyDeriver([]byte("secret"))
	parts := [][]byte{[]byte("one"), []byte("two")}
	for name, other := range map[string]Scope{
		"account": {Account: "b", Model: "m", Version: "v"},
		"model":   {Account: "a", Model: "n", Version: "v"},
		"version": {Account: "a", Model: "m", Version: "w"},
		"shift":   {Account: "am", Model: "", Version: "v"},
	} {
		t.Run("another "+name+" shares no name", func(t *testing.T) {
			ours, theirs := n.BlockKeys(scope, parts), n.BlockKeys(other, parts)
			for i := range ours {
				assert.NotEqual(t, ours[i], theirs[i])
			}
			assert.NotEqual(t, n.CacheSalt(scope, ""), n.CacheSalt(other, ""))
		})
	}
	t.Run("a longer prompt keeps the names of its beginning", func(t *testing.T) {
		assert.Equal(t, n.BlockKeys(scope, parts)[0], n.BlockKeys(scope, parts[:1])[0])
	})
	t.Run("a caller's own salt divides its scope and no other", func(t *testing.T) {
		assert.NotEqual(t, n.CacheSalt(scope, "x"), n.CacheSalt(scope, "y"))
	})
}

// TestChainsDiffer takes any two different scopes or prompts: the names of whole prompts differ.
func TestChainsDiffer(t *testing.T) {
	n := NewKeyDeriver([]byte("secret"))
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
		k1, k2 := n.BlockKeys(s1, p1), n.BlockKeys(s2, p2)
		require.Equal(rt, same, k1[len(k1)-1] == k2[len(k2)-1])
	})
}

func sealed(t require.TestingT, b Block) []byte {
	data, err := NewSealer([]byte("secret")).Seal(b)
	require.NoError(t, err)
	return data
}

// TestSealerFindsEveryChange cuts a sealed block anywhere or changes any byte of it.
func TestSealerFindsEveryChange(t *testing.T) {
	s := NewSealer([]byte("secret"))
	b := Block{Key: rillreach.BlockKey{1}, From: 0, To: 10, Payload: []byte("some state of an engine")}
	whole := sealed(t, b)
	got, err := s.Open(whole, b.Key)
	require.NoError(t, err)
	require.Equal(t, b, got)
	rapid.Check(t, func(rt *rapid.T) {
		at := rapid.IntRange(0, len(whole)-1).Draw(rt, "at")
		changed := append([]byte(nil), whole...)
		if rapid.Bool().Draw(rt, "cut") {
			changed = changed[:at]
		} else {
			changed[at] ^= byte(rapid.IntRange(1, 255).Draw(rt, "change"))
		}
		_, err := s.Open(changed, b.Key)
		require.ErrorIs(rt, err, ErrInvalidBlock)
	})
	t.Run("another block is refused", func(t *testing.T) {
		_, err := s.Open(whole, rillreach.BlockKey{2})
		assert.ErrorIs(t, err, ErrInvalidBlock)
	})
	t.Run("another fleet's block is refused", func(t *testing.T) {
		_, err := NewSealer([]byte("another")).Open(whole, b.Key)
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

func TestResident(t *testing.T) {
	keys := []rillreach.BlockKey{{1}, {2}, {3}}
	held := func() *CacheEstimate {
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
	t.Run("the longest beginning is found", func(t *testing.T) { assertHeld(t, held(), 2, 20) })
	t.Run("an event takes the oldest of its scope away", func(t *testing.T) {
		r := held()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 5, Salt: "salt"}, {Sequence: 6, Salt: "salt"}}, Next: 7})
		assertHeld(t, r, 0, 0)
	})
	t.Run("an event of another scope takes nothing away", func(t *testing.T) {
		r := held()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 5, Salt: "other"}}, Next: 6})
		assertHeld(t, r, 2, 20)
	})
	t.Run("an event that comes again changes nothing", func(t *testing.T) {
		r := held()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 4, Salt: "salt"}}, Next: 5})
		assertHeld(t, r, 2, 20)
	})
	t.Run("a gap takes everything away", func(t *testing.T) {
		r := held()
		r.ApplyEvents(EventPage{Incarnation: "one", Events: []EvictionEvent{{Sequence: 9, Salt: "other"}}, Next: 10})
		assertHeld(t, r, 0, 0)
	})
	t.Run("a gap at the end takes everything away", func(t *testing.T) {
		r := held()
		r.ApplyEvents(EventPage{Incarnation: "one", Next: 9})
		assertHeld(t, r, 0, 0)
	})
	t.Run("a new incarnation takes everything away", func(t *testing.T) {
		r := held()
		r.ApplyEvents(EventPage{Incarnation: "two", Next: 0})
		assertHeld(t, r, 0, 0)
	})
}

func TestLink(t *testing.T) {
	t.Run("a link that failed is left alone, longer each time", func(t *testing.T) {
		l := &Link{}
		l.EndImport(start, 0, 0, false)
		assert.False(t, l.Usable(start))
		assert.True(t, l.Usable(start.Add(avoidFirst)))
		l.EndImport(start, 0, 0, false)
		assert.False(t, l.Usable(start.Add(avoidFirst)))
	})
	t.Run("what a transfer took moves the estimate", func(t *testing.T) {
		l := &Link{}
		l.BeginImport(1000)
		l.EndImport(start, 1000, time.Second, true)
		assert.InDelta(t, 2, l.EstimateImport(2000).Seconds(), 1e-9)
	})
	t.Run("nothing is written in the background while something is read", func(t *testing.T) {
		l := &Link{}
		l.BeginImport(1)
		assert.False(t, l.TryBeginBackground(1))
	})
}

func TestImportDecide(t *testing.T) {
	ask := ImportInput{Tokens: 1000, Stored: 1000, PrefillRate: 1000, TransferTime: 500 * time.Millisecond, Objective: rillreach.ObjectiveFirstToken}
	assertVerdict := func(t *testing.T, i ImportInput, v Verdict) {
		t.Helper()
		assert.Equal(t, v, i.Decide())
	}
	slow, cached, none, waits := ask, ask, ask, ask
	slow.TransferTime = 2 * time.Second
	cached.Cached = 1000
	none.Stored = 0
	waits.TransferTime, waits.QueueWait = 2*time.Second, 2*time.Second
	patient := slow
	patient.Objective = rillreach.ObjectiveRecompute
	endless := patient
	endless.TransferTime = time.Minute
	t.Run("reading that is faster is chosen", func(t *testing.T) { assertVerdict(t, ask, VerdictImport) })
	t.Run("reading that is slower is not", func(t *testing.T) { assertVerdict(t, slow, VerdictRecomputeFaster) })
	t.Run("reading during the wait costs nothing", func(t *testing.T) { assertVerdict(t, waits, VerdictImport) })
	t.Run("little recomputation is worth some delay", func(t *testing.T) { assertVerdict(t, patient, VerdictImport) })
	t.Run("but not any", func(t *testing.T) { assertVerdict(t, endless, VerdictRecomputeFaster) })
	t.Run("what the engine holds is not read", func(t *testing.T) { assertVerdict(t, cached, VerdictCached) })
	t.Run("nothing kept is nothing read", func(t *testing.T) { assertVerdict(t, none, VerdictNotStored) })
}

func TestGaps(t *testing.T) {
	t.Run("an account whose prompts return is expected to return", func(t *testing.T) {
		g, never := &ReturnHistogram{}, &ReturnHistogram{}
		for range 100 {
			g.RecordReturn(time.Hour)
			never.RecordLoss()
		}
		assert.Greater(t, g.ReturnProbability(0, 24*time.Hour), 0.9)
		assert.Less(t, never.ReturnProbability(0, 24*time.Hour), 0.1)
	})
	t.Run("a prompt away longer than ever before is not expected", func(t *testing.T) {
		g := &ReturnHistogram{}
		for range 100 {
			g.RecordReturn(time.Minute)
			g.RecordLoss()
		}
		assert.Less(t, g.ReturnProbability(24*time.Hour, 48*time.Hour), 0.1)
	})
}

func TestExportDecide(t *testing.T) {
	ask := ExportInput{Tokens: 10_000, Bytes: 10 << 20, ReturnProbability: 0.5, PrefillRate: 4000, LinkRate: 100 << 20}
	small, unlikely := ask, ask
	small.Tokens = 1
	unlikely.ReturnProbability = 0
	assert.Equal(t, VerdictExport, ask.Decide())
	assert.Equal(t, VerdictTooSmall, small.Decide())
	assert.Equal(t, VerdictReturnUnlikely, unlikely.Decide())
}

// TestStripesJoin splits a block and puts it together again; stripes that are missing, out of order or of another
// writing are refused.
func TestStripesJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := Block{Key: rillreach.BlockKey{1}, To: 5, Generation: "one", Payload: rapid.SliceOf(rapid.Byte()).Draw(rt, "payload")}
		count := rapid.IntRange(1, 4).Draw(rt, "count")
		stripes := b.Split(count)
		whole, err := Join(stripes)
		require.NoError(rt, err)
		require.Equal(rt, string(b.Payload), string(whole.Payload))
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
