package pinning

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

var (
	start  = time.Unix(1000, 0)
	oldPin = Pin{Service: "s", Software: "v1"}
	newPin = Pin{Service: "s", Software: "v1.1"}
)

func streamNumber(n int) Stream {
	return Stream{Account: "shop", Request: rillreach.RequestID(fmt.Sprint("r-", n))}
}

func recordOf(n int, pin Pin) Record {
	return Record{Stream: streamNumber(n), Pin: pin, Left: 10 * time.Second}
}

func queryFor(n int) Query { return Query{Stream: streamNumber(n), Service: "s"} }

func agents(n int) []Replica {
	all := make([]Replica, n)
	for i := range all {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		all[i] = Replica{Address: address, Zone: rillreach.ZoneID(fmt.Sprint("z", i%3))}
	}
	return all
}

func TestPin(t *testing.T) {
	assert.True(t, Pin{}.Allows("s", "v1"), "a stream that has not begun may begin anywhere")
	assert.True(t, oldPin.Allows("s", "v1"))
	assert.False(t, oldPin.Allows("s", "v1.1"))
	assert.False(t, oldPin.Allows("other", "v1"), "equal versions of two services are different software")
	assert.False(t, Pin{Service: "s"}.Allows("s", "v1"), "an unnamed version is not any version")
}

func TestTable(t *testing.T) {
	t.Run("a record is found until the stream can no longer be taken up", func(t *testing.T) {
		var table Table
		table.Put(start, recordOf(1, oldPin))
		got := table.Find(start.Add(9*time.Second), queryFor(1))
		assert.True(t, got.Found)
		assert.Equal(t, oldPin, got.Pin)
		assert.Equal(t, 9*time.Second, got.Age)
		assert.False(t, table.Find(start.Add(10*time.Second), queryFor(1)).Found)
		assert.Zero(t, table.Len())
	})
	t.Run("another account's request with the same ID is another stream", func(t *testing.T) {
		var table Table
		table.Put(start, recordOf(1, oldPin))
		assert.False(t, table.Find(start, Query{Stream: Stream{Account: "other", Request: "r-1"}, Service: "s"}).Found)
	})
	t.Run("records that contradict each other are disputed", func(t *testing.T) {
		var table Table
		table.Put(start, recordOf(1, oldPin))
		table.Put(start, recordOf(1, oldPin))
		assert.False(t, table.Find(start, queryFor(1)).Disputed)
		table.Put(start, recordOf(1, newPin))
		assert.True(t, table.Find(start, queryFor(1)).Disputed)
	})
	t.Run("the oldest are evicted above the limit", func(t *testing.T) {
		table := Table{Limit: 2}
		for i := range 3 {
			table.Put(start, recordOf(i, oldPin))
		}
		assert.False(t, table.Find(start, queryFor(0)).Found)
		assert.True(t, table.Find(start, queryFor(2)).Found)
		assert.EqualValues(t, 1, table.Evicted())
	})
	t.Run("an answer without a record names the versions of other streams", func(t *testing.T) {
		var table Table
		table.Put(start, recordOf(1, newPin))
		table.Put(start, recordOf(2, Pin{Service: "other", Software: "v9"}))
		assert.Equal(t, Answer{Others: []Pin{newPin}}, table.Find(start, queryFor(3)))
	})
}

func TestPlacement(t *testing.T) {
	t.Run("copies are in different availability zones", func(t *testing.T) {
		p := NewPlacement(agents(200))
		for i := range 50 {
			order := p.For(streamNumber(i))
			require.NotEqual(t, order[0].Zone, order[1].Zone)
		}
	})
	t.Run("all processes choose the same ones, in whatever order they list the agents", func(t *testing.T) {
		all := agents(18)
		reversed := slices.Collect(func(yield func(Replica) bool) {
			for _, r := range slices.Backward(all) {
				if !yield(r) {
					return
				}
			}
		})
		assert.True(t, NewPlacement(all).equal(NewPlacement(reversed)))
		assert.Equal(t, NewPlacement(all).For(streamNumber(1)), NewPlacement(reversed).For(streamNumber(1)))
	})
	t.Run("a small deployment has one group, and a large one spreads its streams", func(t *testing.T) {
		assert.Len(t, NewPlacement(agents(18)).groups, 1)
		held := map[netip.AddrPort]int{}
		p := NewPlacement(agents(4200))
		for i := range 6500 {
			for _, r := range p.For(streamNumber(i))[:Copies] {
				held[r.Address]++
			}
		}
		assert.Greater(t, len(held), 100)
		for _, n := range held {
			assert.Less(t, n, 500)
		}
	})
	t.Run("whoever asks meets those that hold a record, also with a list that lacks a few agents", func(t *testing.T) {
		all := agents(18)
		for lacking := range all {
			others := slices.Concat(all[:lacking], all[lacking+1:])
			holders := NewPlacement(all).For(streamNumber(1))[:Copies]
			asked := NewPlacement(others).For(streamNumber(1))[:Asked]
			assert.True(t, slices.ContainsFunc(holders, func(r Replica) bool { return slices.Contains(asked, r) }), "without agent %d", lacking)
		}
	})
	t.Run("without agents there are no replicas", func(t *testing.T) {
		assert.Empty(t, NewPlacement(nil).For(streamNumber(1)))
		assert.Empty(t, (&Placement{}).For(streamNumber(1)))
	})
}

func TestHistory(t *testing.T) {
	type versions = map[rillreach.ServiceID][]deployment.SoftwareVersion
	t.Run("a version counts as the only one until another is observed", func(t *testing.T) {
		var h History[rillreach.ServiceID, deployment.SoftwareVersion]
		h.Observe(start, versions{"s": {"v1", "v1"}})
		got, ok := h.Only("s", start)
		assert.True(t, ok)
		assert.EqualValues(t, "v1", got)
		h.Observe(start.Add(time.Second), versions{"s": {"v1", "v1.1"}})
		_, ok = h.Only("s", start)
		assert.False(t, ok)
	})
	t.Run("a version that is gone counts for streams that may have begun there", func(t *testing.T) {
		var h History[rillreach.ServiceID, deployment.SoftwareVersion]
		h.Observe(start, versions{"s": {"v1", "v1.1"}})
		h.Observe(start.Add(time.Second), versions{"s": {"v1.1"}})
		_, ok := h.Only("s", start)
		assert.False(t, ok)
		got, ok := h.Only("s", start.Add(time.Second))
		assert.True(t, ok)
		assert.EqualValues(t, "v1.1", got)
	})
	t.Run("an unknown service has no version", func(t *testing.T) {
		var h History[rillreach.ServiceID, deployment.SoftwareVersion]
		_, ok := h.Only("s", start)
		assert.False(t, ok)
		assert.False(t, h.Covers(start, start, time.Hour))
	})
	t.Run("a process that has just started, that was cut off or whose list is old is not certain", func(t *testing.T) {
		var h History[rillreach.ServiceID, deployment.SoftwareVersion]
		at := start
		for range 20 {
			h.Observe(at, versions{"s": {"v1"}})
			at = at.Add(time.Second)
		}
		assert.True(t, h.Covers(start, at, 2*time.Second))
		assert.False(t, h.Covers(start.Add(-time.Second), at, 2*time.Second), "it had not started")
		assert.False(t, h.Covers(start, at.Add(2*time.Second), 2*time.Second), "its list is old")
		h.Observe(at.Add(maxObservationGap), versions{"s": {"v1"}})
		assert.False(t, h.Covers(start, at.Add(maxObservationGap), 2*time.Second), "it was cut off")
	})
}

// Guards against taking a stream whose beginning is unknown for one that may go on anywhere.
func TestUnknownBeginningTakenForAny(t *testing.T) {
	no := Answer{}
	cases := map[string]struct {
		evidence Evidence
		pin      Pin
		verdict  Verdict
	}{
		"a record":                            {Evidence{Named: true, Answers: []Answer{no, {Found: true, Pin: newPin}}, Only: oldPin, OnlyIsCertain: true}, newPin, VerdictRecorded},
		"two equal records":                   {Evidence{Named: true, Answers: []Answer{{Found: true, Pin: newPin}, {Found: true, Pin: newPin}}}, newPin, VerdictRecorded},
		"two different records":               {Evidence{Named: true, Answers: []Answer{{Found: true, Pin: newPin}, {Found: true, Pin: oldPin}}}, Pin{}, VerdictDisputed},
		"a disputed record":                   {Evidence{Named: true, Answers: []Answer{{Found: true, Disputed: true, Pin: newPin}}}, Pin{}, VerdictDisputed},
		"several versions":                    {Evidence{Named: true, Answers: []Answer{no}}, Pin{}, VerdictUnknown},
		"one version for certain":             {Evidence{Named: true, Answers: []Answer{no}, Only: oldPin, OnlyIsCertain: true}, oldPin, VerdictOnlyVersion},
		"one version, perhaps not for long":   {Evidence{Named: true, Answers: []Answer{no}, Only: oldPin}, Pin{}, VerdictUnknown},
		"one version, no replica answers":     {Evidence{Named: true, Only: oldPin, OnlyIsCertain: true}, Pin{}, VerdictUnknown},
		"one version, a replica knows others": {Evidence{Named: true, Answers: []Answer{{Others: []Pin{oldPin, newPin}}}, Only: oldPin, OnlyIsCertain: true}, Pin{}, VerdictUnknown},
		"a caller that names no stream":       {Evidence{Only: oldPin}, oldPin, VerdictOnlyVersion},
		"the same with several versions":      {Evidence{}, Pin{}, VerdictUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pin, verdict := c.evidence.Resolve()
			assert.Equal(t, c.pin, pin)
			assert.Equal(t, c.verdict, verdict)
		})
	}
}

func TestMessagesAreChecked(t *testing.T) {
	valid := recordOf(1, oldPin)
	require.NoError(t, Report{Records: []Record{valid}}.Check())
	require.NoError(t, queryFor(1).Check())
	require.NoError(t, Answer{}.Check())
	invalid := map[string]func(r *Record){
		"no request":              func(r *Record) { r.Stream.Request = "" },
		"a long ID":               func(r *Record) { r.Stream.Request = rillreach.RequestID(make([]byte, maxIDLength+1)) },
		"no service":              func(r *Record) { r.Pin.Service = "" },
		"a negative time":         func(r *Record) { r.Left = -1 },
		"a time that is too long": func(r *Record) { r.Left = MaxLifetime + 1 },
	}
	for name, change := range invalid {
		t.Run(name, func(t *testing.T) {
			r := valid
			change(&r)
			assert.Error(t, Report{Records: []Record{r}}.Check())
		})
	}
	require.Error(t, Answer{Found: true}.Check())
	require.Error(t, Answer{Others: []Pin{{}}}.Check())
	assert.Error(t, Query{Stream: streamNumber(1)}.Check())
}
