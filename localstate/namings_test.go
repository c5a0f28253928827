package localstate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/deployment"
)

func TestReplaced(t *testing.T) {
	s := state()
	s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 1, Revision: rillreach.Revision{Number: 1}})
	assert.True(t, s.ReplacedAt("m", 1).IsZero(), "the newest is not replaced")
	s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 2, Revision: rillreach.Revision{Number: 2}})
	first := s.ReplacedAt("m", 1)
	assert.False(t, first.IsZero())
	s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 3, Revision: rillreach.Revision{Number: 3}})
	assert.Equal(t, first, s.ReplacedAt("m", 1), "each version is judged by its own successor")
	assert.False(t, s.ReplacedAt("m", 2).IsZero())
}

func TestApplyNaming(t *testing.T) {
	const model = "m"
	start := time.Now()
	begin := func() *State {
		s := state()
		s.SetWeights(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
		return s
	}
	t.Run("another process may know an earlier time", func(t *testing.T) {
		s := begin()
		s.ApplyNamedVersion(NamedVersion{Model: model, Version: 5, At: start.Add(-time.Minute)})
		assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 4))
	})
	t.Run("weights that were replaced by a version long forgotten were replaced then", func(t *testing.T) {
		s := begin()
		s.ApplyNamedVersion(NamedVersion{Model: model, Version: 5, At: start.Add(-time.Minute)})
		for version := deployment.WeightVersion(6); version < 6+2*maxNamings; version++ {
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: version, Revision: rillreach.Revision{Number: uint64(version)}})
		}
		assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 4))
		assert.Len(t, s.NamedVersions(), maxNamings)
	})
	t.Run("a later time changes nothing", func(t *testing.T) {
		s := begin()
		before := s.ReplacedAt(model, 4)
		s.ApplyNamedVersion(NamedVersion{Model: model, Version: 5, At: start.Add(time.Minute)})
		assert.Equal(t, before, s.ReplacedAt(model, 4))
	})
	t.Run("a version in between replaced those before it, and no other", func(t *testing.T) {
		s := begin()
		s.ApplyNamedVersion(NamedVersion{Model: model, Version: 3, At: start.Add(-time.Minute)})
		assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 2))
		assert.False(t, s.ReplacedAt(model, 3).Before(start))
		assert.Len(t, s.NamedVersions(), 2)
	})
	t.Run("a version that the object store has not named is not taken from others", func(t *testing.T) {
		s := begin()
		s.ApplyNamedVersion(NamedVersion{Model: model, Version: 6, At: start})
		s.ApplyNamedVersion(NamedVersion{Model: "other", Version: 1, At: start})
		assert.Len(t, s.NamedVersions(), 1)
	})
}

// TestAdoptedWeights: weights that are found named at the start may have been named at any time before.
func TestAdoptedWeights(t *testing.T) {
	const model = "m"
	longAgo := time.Unix(0, 0)
	named := func(version uint64) []rillreach.Update[deployment.DesiredWeights] {
		w := deployment.DesiredWeights{Model: model, Version: deployment.WeightVersion(version), Revision: rillreach.Revision{Number: version}}
		return []rillreach.Update[deployment.DesiredWeights]{{Name: model, Revision: rillreach.Revision{Number: version}, Value: w}}
	}
	found := func() *State {
		s := state()
		s.SetWeightsOfUnknownAge(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
		return s
	}
	t.Run("others may tell for a while since when they are", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			assert.Equal(t, start, found().ReplacedAt(model, 4))
		})
	})
	t.Run("those before them are taken for too old where nobody does", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := found()
			time.Sleep(reportWithin + 1)
			assert.Equal(t, longAgo, s.ReplacedAt(model, 4))
			assert.True(t, s.ReplacedAt(model, 5).IsZero())
		})
	})
	t.Run("what is told counts, also late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			time.Sleep(time.Minute)
			s.ApplyNamedVersion(NamedVersion{Model: model, Version: 5, At: start.Add(-time.Second)})
			assert.Equal(t, start.Add(-time.Second), s.ReplacedAt(model, 4))
		})
	})
	t.Run("what another process told first is news where the object store tells of it, too", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
			time.Sleep(time.Minute)
			assert.Equal(t, start, s.ReplacedAt(model, 4))
		})
	})
	t.Run("weights that are named later need nobody's word", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := found()
			time.Sleep(time.Minute)
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: 6, Revision: rillreach.Revision{Number: 6}})
			assert.Equal(t, time.Now(), s.ReplacedAt(model, 5))
		})
	})
	t.Run("what nobody has told is not told on", func(t *testing.T) {
		s := found()
		assert.Empty(t, s.NamedVersions())
		s.ApplyNamedVersion(NamedVersion{Model: model, Version: 5, At: time.Now()})
		assert.Len(t, s.NamedVersions(), 1)
	})
	t.Run("a version between may have been named as well, until somebody tells of it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.ApplyNamedVersion(NamedVersion{Model: model, Version: 5, At: start.Add(-time.Second)})
			time.Sleep(reportWithin + 1)
			assert.Equal(t, start.Add(-time.Second), s.ReplacedAt(model, 4))
			assert.Equal(t, longAgo, s.ReplacedAt(model, 3))
			s.ApplyNamedVersion(NamedVersion{Model: model, Version: 4, At: start.Add(-time.Minute)})
			assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 3))
		})
	})
	t.Run("one that was told of leaves open what was named before it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.ApplyNamedVersion(NamedVersion{Model: model, Version: 4, At: start.Add(-time.Second)})
			time.Sleep(reportWithin + 1)
			assert.Equal(t, start.Add(-time.Second), s.ReplacedAt(model, 3))
			assert.Equal(t, longAgo, s.ReplacedAt(model, 1))
		})
	})
	t.Run("one that was heard of replaced all before it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := state()
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
			time.Sleep(time.Minute)
			assert.Equal(t, start, s.ReplacedAt(model, 1))
		})
	})
	t.Run("a list that is asked for again tells nothing of the time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := state()
			c, ok := s.WeightsFollower(nil, time.Second).(*follow.Controller[deployment.DesiredWeights])
			require.True(t, ok)
			c.OnListed(named(5), time.Time{})
			c.OnListed(named(5), time.Time{})
			time.Sleep(reportWithin + 1)
			assert.Equal(t, longAgo, s.ReplacedAt(model, 4))
		})
	})
	t.Run("what a second list tells of for the first time is news", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := state()
			c, ok := s.WeightsFollower(nil, time.Second).(*follow.Controller[deployment.DesiredWeights])
			require.True(t, ok)
			c.OnListed(nil, time.Time{})
			time.Sleep(time.Minute)
			c.OnListed(named(5), time.Time{})
			start := time.Now()
			time.Sleep(reportWithin + 1)
			assert.Equal(t, start, s.ReplacedAt(model, 4))
		})
	})
}
