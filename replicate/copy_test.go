package replicate

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
)

const kind = rillreach.KindRow

// recorder is a copy that notes what it was given, and fails when anything goes back.
type recorder struct {
	*Replica
	versions map[string]uint64
	there    map[string]uint64
}

func newRecorder(t require.TestingT) *recorder {
	r := &recorder{Replica: NewReplica(), versions: map[string]uint64{}, there: map[string]uint64{}}
	r.AddKind(kind, func(o rillreach.Object) {
		require.Greater(t, o.Version, r.versions[o.Name], "object %s goes back", o.Name)
		r.versions[o.Name] = o.Version
		r.there[o.Name] = o.Version
		if o.Deleted {
			delete(r.there, o.Name)
		}
	}, nil)
	return r
}

// source is what the platform holds.
type source struct {
	version uint64
	now     time.Time
	objects map[string]rillreach.Object
}

func newSource() *source {
	return &source{version: 1, now: time.Unix(1000, 0), objects: map[string]rillreach.Object{}}
}

func (s *source) write(name string, deleted bool) {
	s.version++
	s.now = s.now.Add(time.Second)
	s.objects[name] = rillreach.Object{Kind: kind, Name: name, Version: s.version, Changed: s.now, Deleted: deleted}
}

func (s *source) mark() Watermark {
	return Watermark{Kind: kind, Version: s.version, Time: s.now}
}

func (s *source) since(version uint64) Delta {
	d := Delta{From: version, To: s.mark()}
	for _, o := range s.objects {
		if o.Version > version {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

func (s *source) snapshot() Delta {
	d := Delta{To: s.mark(), Snapshot: true}
	for _, o := range s.objects {
		if !o.Deleted {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

func (s *source) there() map[string]uint64 {
	there := map[string]uint64{}
	for name, o := range s.objects {
		if !o.Deleted {
			there[name] = o.Version
		}
	}
	return there
}

func TestCopyMerge(t *testing.T) {
	t.Run("a delta that begins where the copy ends is applied", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		assert.Equal(t, MergeApplied, c.Merge(s.snapshot()))
		s.write("b", false)
		assert.Equal(t, MergeApplied, c.Merge(s.since(c.Watermark(kind).Version)))
		assert.Equal(t, s.there(), c.there)
	})
	t.Run("a delta that begins later is a gap and changes nothing", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		c.Merge(s.snapshot())
		s.write("b", false)
		s.write("c", false)
		assert.Equal(t, MergeGap, c.Merge(s.since(s.version-1)))
		assert.Len(t, c.there, 1)
	})
	t.Run("an older delta changes nothing", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		old := s.snapshot()
		s.write("a", true)
		c.Merge(s.snapshot())
		assert.Equal(t, MergeStale, c.Merge(old))
		assert.Empty(t, c.there)
	})
	t.Run("a snapshot removes what it does not hold", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		s.write("b", false)
		c.Merge(s.snapshot())
		s.write("a", true)
		assert.Equal(t, MergeApplied, c.Merge(s.snapshot()))
		assert.Equal(t, s.there(), c.there)
	})
	t.Run("a later time alone confirms the copy", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		c.Merge(s.snapshot())
		s.now = s.now.Add(time.Minute)
		assert.Equal(t, MergeConfirmed, c.Merge(s.since(s.version)))
		assert.Equal(t, s.now, c.Watermark(kind).Time)
	})
	t.Run("removals that were forgotten are made up for by a snapshot", func(t *testing.T) {
		s, near, far := newSource(), newRecorder(t), newRecorder(t)
		s.write("kept", false)
		s.write("first", false)
		near.Merge(s.snapshot())
		far.Merge(s.snapshot())
		s.write("first", true)
		near.Merge(s.since(near.Watermark(kind).Version))
		for i := range tombstones {
			name := fmt.Sprint(i)
			s.write(name, false)
			s.write(name, true)
			near.Merge(s.since(near.Watermark(kind).Version))
		}
		d, ok := near.DeltaSince(far.Watermark(kind))
		require.True(t, ok)
		assert.True(t, d.Snapshot)
		far.Merge(d)
		assert.Equal(t, s.there(), far.there)
	})
}

// TestCopiesConverge has copies learn from the platform and from each other in any order, with messages that are old,
// doubled or lost: no object ever goes back, and one exchange with an up-to-date copy makes any copy equal to the platform.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSource()
		copies := make([]*recorder, rapid.IntRange(2, 5).Draw(rt, "copies"))
		for i := range copies {
			copies[i] = newRecorder(rt)
		}
		var sent []Delta
		copyOf := func(name string) *recorder { return copies[rapid.IntRange(0, len(copies)-1).Draw(rt, name)] }
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(rt *rapid.T) {
				s.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name"), rapid.Bool().Draw(rt, "deleted"))
			},
			"list":  func(*rapid.T) { copyOf("copy").Merge(s.snapshot()) },
			"watch": func(*rapid.T) { c := copyOf("copy"); c.Merge(s.since(c.Watermark(kind).Version)) },
			"ask": func(*rapid.T) {
				if d, ok := copyOf("from").DeltaSince(copyOf("to").Watermark(kind)); ok {
					sent = append(sent, d)
				}
			},
			"arrive": func(rt *rapid.T) {
				if len(sent) > 0 {
					copyOf("copy").Merge(rapid.SampledFrom(sent).Draw(rt, "delta"))
				}
			},
		})
		first := copies[0]
		first.Merge(s.snapshot())
		for _, c := range copies[1:] {
			if d, ok := first.DeltaSince(c.Watermark(kind)); ok {
				c.Merge(d)
			}
			if !maps.Equal(s.there(), c.there) {
				rt.Fatalf("copy holds %v, platform %v", c.there, s.there())
			}
		}
	})
}
