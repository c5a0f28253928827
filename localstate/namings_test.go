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

func TestReplacedAt(t *testing.T) {
	s := newState()
	s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 1, Revision: rillreach.Revision{Number: 1}})
	assert.True(t, s.ReplacedAt("m", 1).IsZero(), "the newest version is not replaced")
	s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 2, Revision: rillreach.Revision{Number: 2}})
	first := s.ReplacedAt("m", 1)
	assert.False(t, first.IsZero())
	s.SetWeights(deployment.DesiredWeights{Model: "m", Version: 3, Revision: rillreach.Revision{Number: 3}})
	assert.Equal(t, first, s.ReplacedAt("m", 1), "a version is replaced when the next one is requested")
	assert.False(t, s.ReplacedAt("m", 2).IsZero())
}

func TestApplyDesiredVersion(t *testing.T) {
	const model = "m"
	start := time.Now()
	begin := func() *State {
		s := newState()
		s.SetWeights(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
		return s
	}
	t.Run("an earlier reported time is adopted", func(t *testing.T) {
		s := begin()
		s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 5, At: start.Add(-time.Minute)})
		assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 4))
	})
	t.Run("the time of a dropped version is kept", func(t *testing.T) {
		s := begin()
		s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 5, At: start.Add(-time.Minute)})
		for version := deployment.WeightVersion(6); version < 6+2*maxVersionRecords; version++ {
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: version, Revision: rillreach.Revision{Number: uint64(version)}})
		}
		assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 4))
		assert.Len(t, s.DesiredVersions(), maxVersionRecords)
	})
	t.Run("a later reported time is ignored", func(t *testing.T) {
		s := begin()
		before := s.ReplacedAt(model, 4)
		s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 5, At: start.Add(time.Minute)})
		assert.Equal(t, before, s.ReplacedAt(model, 4))
	})
	t.Run("a reported version in between replaces only those before it", func(t *testing.T) {
		s := begin()
		s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 3, At: start.Add(-time.Minute)})
		assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 2))
		assert.False(t, s.ReplacedAt(model, 3).Before(start))
		assert.Len(t, s.DesiredVersions(), 2)
	})
	t.Run("a version newer than that of the object store is ignored", func(t *testing.T) {
		s := begin()
		s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 6, At: start})
		s.ApplyDesiredVersion(DesiredVersion{Model: "other", Version: 1, At: start})
		assert.Len(t, s.DesiredVersions(), 1)
	})
}

// Weights that the first list contains may have been requested at any time before.
func TestWeightsOfUnknownAge(t *testing.T) {
	const model = "m"
	longAgo := time.Unix(0, 0)
	listOf := func(version uint64) []rillreach.Update[deployment.DesiredWeights] {
		w := deployment.DesiredWeights{Model: model, Version: deployment.WeightVersion(version), Revision: rillreach.Revision{Number: version}}
		return []rillreach.Update[deployment.DesiredWeights]{{Name: model, Revision: rillreach.Revision{Number: version}, Value: w}}
	}
	found := func() *State {
		s := newState()
		s.SetWeightsOfUnknownAge(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
		return s
	}
	t.Run("other processes have a while to report the time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			assert.Equal(t, start, found().ReplacedAt(model, 4))
		})
	})
	t.Run("earlier weights are outdated if no process reports the time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := found()
			time.Sleep(peerReportTimeout + 1)
			assert.Equal(t, longAgo, s.ReplacedAt(model, 4))
			assert.True(t, s.ReplacedAt(model, 5).IsZero())
		})
	})
	t.Run("a late report is adopted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			time.Sleep(time.Minute)
			s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 5, At: start.Add(-time.Second)})
			assert.Equal(t, start.Add(-time.Second), s.ReplacedAt(model, 4))
		})
	})
	t.Run("the object store confirms a version that another process reported first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
			time.Sleep(time.Minute)
			assert.Equal(t, start, s.ReplacedAt(model, 4))
		})
	})
	t.Run("weights that are requested later need no report", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := found()
			time.Sleep(time.Minute)
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: 6, Revision: rillreach.Revision{Number: 6}})
			assert.Equal(t, time.Now(), s.ReplacedAt(model, 5))
		})
	})
	t.Run("an unknown time is not reported to others", func(t *testing.T) {
		s := found()
		assert.Empty(t, s.DesiredVersions())
		s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 5, At: time.Now()})
		assert.Len(t, s.DesiredVersions(), 1)
	})
	t.Run("a version in between may have been requested, until another process reports it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 5, At: start.Add(-time.Second)})
			time.Sleep(peerReportTimeout + 1)
			assert.Equal(t, start.Add(-time.Second), s.ReplacedAt(model, 4))
			assert.Equal(t, longAgo, s.ReplacedAt(model, 3))
			s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 4, At: start.Add(-time.Minute)})
			assert.Equal(t, start.Add(-time.Minute), s.ReplacedAt(model, 3))
		})
	})
	t.Run("a reported version leaves open what was requested before it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := found()
			s.ApplyDesiredVersion(DesiredVersion{Model: model, Version: 4, At: start.Add(-time.Second)})
			time.Sleep(peerReportTimeout + 1)
			assert.Equal(t, start.Add(-time.Second), s.ReplacedAt(model, 3))
			assert.Equal(t, longAgo, s.ReplacedAt(model, 1))
		})
	})
	t.Run("a version requested while the process was watching replaces all before it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := newState()
			s.SetWeights(deployment.DesiredWeights{Model: model, Version: 5, Revision: rillreach.Revision{Number: 5}})
			time.Sleep(time.Minute)
			assert.Equal(t, start, s.ReplacedAt(model, 1))
		})
	})
	t.Run("a repeated list does not confirm the time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newState()
			c, ok := s.WeightsFollower(nil, time.Second).(*follow.Controller[deployment.DesiredWeights])
			require.True(t, ok)
			c.OnListed(listOf(5), time.Time{})
			c.OnListed(listOf(5), time.Time{})
			time.Sleep(peerReportTimeout + 1)
			assert.Equal(t, longAgo, s.ReplacedAt(model, 4))
		})
	})
	t.Run("a version that first appears in a later list has just been requested", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newState()
			c, ok := s.WeightsFollower(nil, time.Second).(*follow.Controller[deployment.DesiredWeights])
			require.True(t, ok)
			c.OnListed(nil, time.Time{})
			time.Sleep(time.Minute)
			c.OnListed(listOf(5), time.Time{})
			start := time.Now()
			time.Sleep(peerReportTimeout + 1)
			assert.Equal(t, start, s.ReplacedAt(model, 4))
		})
	})
}
