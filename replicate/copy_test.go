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

// recorder is a replica that records the changes it reports and fails if an object goes back to an older version.
type recorder struct {
	*Replica
	versions map[string]uint64
	present  map[string]uint64
}

func newRecorder(t require.TestingT) *recorder {
	r := &recorder{Replica: NewReplica(), versions: map[string]uint64{}, present: map[string]uint64{}}
	r.AddKind(kind, func(o rillreach.Object) {
		require.Greater(t, o.Version, r.versions[o.Name], "object %s goes back to an older version", o.Name)
		r.versions[o.Name] = o.Version
		r.present[o.Name] = o.Version
		if o.Deleted {
			delete(r.present, o.Name)
		}
	}, nil)
	return r
}

// source stands in for the platform's object store.
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

func (s *source) watermark() Watermark {
	return Watermark{Kind: kind, Version: s.version, Time: s.now}
}

func (s *source) since(version uint64) Delta {
	d := Delta{From: version, To: s.watermark()}
	for _, o := range s.objects {
		if o.Version > version {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

func (s *source) snapshot() Delta {
	d := Delta{To: s.watermark(), Snapshot: true}
	for _, o := range s.objects {
		if !o.Deleted {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

func (s *source) present() map[string]uint64 {
	present := map[string]uint64{}
	for name, o := range s.objects {
		if !o.Deleted {
			present[name] = o.Version
		}
	}
	return present
}

func TestReplicaMerge(t *testing.T) {
	t.Run("a delta that starts at the watermark is applied", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		assert.Equal(t, MergeApplied, c.Merge(s.snapshot()))
		s.write("b", false)
		assert.Equal(t, MergeApplied, c.Merge(s.since(c.Watermark(kind).Version)))
		assert.Equal(t, s.present(), c.present)
	})
	t.Run("a delta that starts after the watermark is a gap and changes nothing", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		c.Merge(s.snapshot())
		s.write("b", false)
		s.write("c", false)
		assert.Equal(t, MergeGap, c.Merge(s.since(s.version-1)))
		assert.Len(t, c.present, 1)
	})
	t.Run("an older delta changes nothing", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		old := s.snapshot()
		s.write("a", true)
		c.Merge(s.snapshot())
		assert.Equal(t, MergeStale, c.Merge(old))
		assert.Empty(t, c.present)
	})
	t.Run("a snapshot removes objects that it does not list", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		s.write("b", false)
		c.Merge(s.snapshot())
		s.write("a", true)
		assert.Equal(t, MergeApplied, c.Merge(s.snapshot()))
		assert.Equal(t, s.present(), c.present)
	})
	t.Run("a later time alone confirms the replica", func(t *testing.T) {
		s, c := newSource(), newRecorder(t)
		s.write("a", false)
		c.Merge(s.snapshot())
		s.now = s.now.Add(time.Minute)
		assert.Equal(t, MergeConfirmed, c.Merge(s.since(s.version)))
		assert.Equal(t, s.now, c.Watermark(kind).Time)
	})
	t.Run("discarded tombstones lead to a snapshot", func(t *testing.T) {
		s, current, behind := newSource(), newRecorder(t), newRecorder(t)
		s.write("kept", false)
		s.write("first", false)
		current.Merge(s.snapshot())
		behind.Merge(s.snapshot())
		s.write("first", true)
		current.Merge(s.since(current.Watermark(kind).Version))
		for i := range maxTombstones {
			name := fmt.Sprint(i)
			s.write(name, false)
			s.write(name, true)
			current.Merge(s.since(current.Watermark(kind).Version))
		}
		d, ok := current.DeltaSince(behind.Watermark(kind))
		require.True(t, ok)
		assert.True(t, d.Snapshot)
		behind.Merge(d)
		assert.Equal(t, s.present(), behind.present)
	})
}

// TestReplicasConverge has replicas receive deltas from the platform and from each other in any order, with stale,
// duplicate and lost messages. No object may go back to an older version, and one exchange with an up-to-date replica
// has to make any replica equal to the platform.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSource()
		replicas := make([]*recorder, rapid.IntRange(2, 5).Draw(rt, "replicas"))
		for i := range replicas {
			replicas[i] = newRecorder(rt)
		}
		var sent []Delta
		replicaOf := func(name string) *recorder { return replicas[rapid.IntRange(0, len(replicas)-1).Draw(rt, name)] }
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(rt *rapid.T) {
				s.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name"), rapid.Bool().Draw(rt, "deleted"))
			},
			"list":  func(*rapid.T) { replicaOf("replica").Merge(s.snapshot()) },
			"watch": func(*rapid.T) { c := replicaOf("replica"); c.Merge(s.since(c.Watermark(kind).Version)) },
			"ask": func(*rapid.T) {
				if d, ok := replicaOf("from").DeltaSince(replicaOf("to").Watermark(kind)); ok {
					sent = append(sent, d)
				}
			},
			"arrive": func(rt *rapid.T) {
				if len(sent) > 0 {
					replicaOf("replica").Merge(rapid.SampledFrom(sent).Draw(rt, "delta"))
				}
			},
		})
		first := replicas[0]
		first.Merge(s.snapshot())
		for _, c := range replicas[1:] {
			if d, ok := first.DeltaSince(c.Watermark(kind)); ok {
				c.Merge(d)
			}
			if !maps.Equal(s.present(), c.present) {
				rt.Fatalf("replica has %v, platform %v", c.present, s.present())
			}
		}
	})
}
