package site

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Reapplying lost writes must not overwrite what was written or removed since the restore, even if the event history
// was dropped in between.
func TestReapplyLostKeepsWritesSinceRestore(t *testing.T) {
	for name, between := range map[string]func(*Store){"": func(*Store) {}, ", history dropped": (*Store).DropHistory} {
		t.Run("written or removed since the restore"+name, func(t *testing.T) {
			s := NewStore()
			s.Put("k", "kept", 1)
			s.Put("k", "gone", 1)
			older := s.Snapshot()
			s.Put("k", "kept", 2)
			s.Put("k", "gone", 2)
			s.Put("k", "lost", 1)
			s.Put("k", "again", 1)
			lost := s.Snapshot()
			s.Restore(older)
			s.Put("k", "kept", 3)
			s.Remove("k", "gone")
			s.Put("k", "again", 2)
			between(s)
			s.ReapplyLost(lost)
			specs := map[string]any{}
			for name, o := range s.objects["k"] {
				specs[name] = o.Spec
			}
			assert.Equal(t, map[string]any{"kept": 3, "lost": 1, "again": 2}, specs)
		})
	}
	t.Run("lost removal is repeated", func(t *testing.T) {
		s := NewStore()
		s.Put("k", "a", 1)
		older := s.Snapshot()
		s.Remove("k", "a")
		lost := s.Snapshot()
		s.Restore(older)
		s.ReapplyLost(lost)
		assert.Empty(t, s.objects["k"])
	})
}
