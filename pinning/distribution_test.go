package pinning

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// replicaSet simulates the agents that hold records. A crashed agent restarts without records.
type replicaSet struct {
	tables map[netip.AddrPort]*Table
	down   map[netip.AddrPort]bool
}

func newReplicaSet(all []Replica) *replicaSet {
	s := &replicaSet{tables: map[netip.AddrPort]*Table{}, down: map[netip.AddrPort]bool{}}
	for _, r := range all {
		s.tables[r.Address] = &Table{}
	}
	return s
}

// exchange delivers all reports that are due, until there are none for available replicas.
func (s *replicaSet) exchange(d *Distribution, now time.Time) {
	for range 10 {
		due := d.Due(now)
		if len(due) == 0 {
			return
		}
		for address, report := range due {
			if s.down[address] {
				d.Failed(now, address)
				continue
			}
			for _, r := range report.Records {
				s.tables[address].Put(now, r)
			}
			d.Delivered(address, report)
		}
	}
}

// crash ends an agent, which loses its records.
func (s *replicaSet) crash(d *Distribution, address netip.AddrPort) {
	s.down[address] = true
	s.tables[address] = &Table{}
	d.Lost(address)
}

// answers returns the answers of the replicas that a process with the given list would ask.
func (s *replicaSet) answers(list []Replica, stream Stream, now time.Time) []Answer {
	var answers []Answer
	for _, r := range first(NewPlacement(list).For(stream), Asked) {
		if !s.down[r.Address] {
			answers = append(answers, s.tables[r.Address].Find(now, Query{Stream: stream, Service: "s"}))
		}
	}
	return answers
}

// first returns the first replicas of an order.
func first(order []Replica, n int) []Replica { return order[:min(n, len(order))] }

func (s *replicaSet) holders(stream Stream, now time.Time) int {
	n := 0
	for address, table := range s.tables {
		if !s.down[address] && table.Find(now, Query{Stream: stream, Service: "s"}).Found {
			n++
		}
	}
	return n
}

func TestDistribution(t *testing.T) {
	t.Run("each record reaches as many replicas as it needs", func(t *testing.T) {
		d, s := startDistribution(agents(18))
		for i := range 20 {
			d.Add(start, recordOf(i, oldPin))
		}
		s.exchange(d, start)
		for i := range 20 {
			assert.Equal(t, Copies, s.holders(streamNumber(i), start))
		}
		assert.Zero(t, d.Unreplicated())
		assert.Empty(t, d.Due(start), "nothing is sent twice")
	})
	t.Run("a record goes to another replica if one cannot be reached", func(t *testing.T) {
		d, s := startDistribution(agents(18))
		s.down[NewPlacement(agents(18)).For(streamNumber(1))[0].Address] = true
		d.Add(start, recordOf(1, oldPin))
		s.exchange(d, start)
		assert.Equal(t, Copies, s.holders(streamNumber(1), start))
	})
	t.Run("a replica that could not be reached gets the record once it can be", func(t *testing.T) {
		d, s := startDistribution(agents(18))
		unreachable := NewPlacement(agents(18)).For(streamNumber(1))[:Copies]
		for _, r := range unreachable {
			s.down[r.Address] = true
		}
		d.Add(start, recordOf(1, oldPin))
		s.exchange(d, start)
		for _, r := range unreachable {
			s.down[r.Address] = false
		}
		s.exchange(d, start.Add(retryDelay))
		assert.Equal(t, 2*Copies, s.holders(streamNumber(1), start.Add(retryDelay)))
	})
	t.Run("a replica that has restarted gets its records again", func(t *testing.T) {
		d, s := startDistribution(agents(2))
		d.Add(start, recordOf(1, oldPin))
		s.exchange(d, start)
		lost := agents(2)[0].Address
		s.crash(d, lost)
		s.exchange(d, start)
		assert.Equal(t, 1, s.holders(streamNumber(1), start))
		s.down[lost] = false
		s.exchange(d, start.Add(retryDelay))
		assert.Equal(t, 2, s.holders(streamNumber(1), start.Add(retryDelay)))
	})
	t.Run("a record that is added before any agent is known is sent later", func(t *testing.T) {
		d, s := startDistribution(nil)
		d.Add(start, recordOf(1, oldPin))
		s.exchange(d, start)
		d.SetPlacement(NewPlacement(agents(18)))
		s = newReplicaSet(agents(18))
		s.exchange(d, start)
		assert.Equal(t, Copies, s.holders(streamNumber(1), start))
	})
	t.Run("replicas that could not be reached are asked last", func(t *testing.T) {
		d, s := startDistribution(agents(3))
		order := NewPlacement(agents(3)).For(streamNumber(1))
		s.down[order[0].Address] = true
		d.Add(start, recordOf(1, oldPin))
		s.exchange(d, start)
		assert.Equal(t, []Replica{order[1], order[2], order[0]}, d.ReplicasOf(start, streamNumber(1)))
	})
	t.Run("an expired record is not sent", func(t *testing.T) {
		d, _ := startDistribution(agents(18))
		d.Add(start, recordOf(1, oldPin))
		assert.Empty(t, d.Due(start.Add(10*time.Second)))
		assert.Zero(t, d.Unreplicated())
	})
	t.Run("a record that expires before an older one is not sent either", func(t *testing.T) {
		d, _ := startDistribution(agents(18))
		d.Add(start, Record{Stream: streamNumber(1), Pin: oldPin, Left: time.Minute})
		d.Add(start, recordOf(2, oldPin))
		for _, report := range d.Due(start.Add(30 * time.Second)) {
			require.NoError(t, report.Check())
			assert.Len(t, report.Records, 1)
		}
	})
	t.Run("the oldest records are given up above the limit", func(t *testing.T) {
		d, _ := startDistribution(agents(3))
		for i := range maxDistributed + 5 {
			d.Add(start, recordOf(i, oldPin))
		}
		assert.Equal(t, maxDistributed, d.Unreplicated())
	})
}

// Guards against losing the records of an agent that is stopped after the entry that made them has ended.
func TestStoppedReplicaTakesRecordsAlong(t *testing.T) {
	all := agents(5)
	d, s := startDistribution(all)
	for i := range 3 * maxReportRecords {
		d.Add(start, recordOf(i, oldPin))
	}
	s.exchange(d, start)
	for stopped := range 3 { // one after the other, without the entry
		handover, others := &Distribution{}, all[stopped+1:]
		handover.SetPlacement(NewPlacement(others))
		s.down[all[stopped].Address] = true
		for _, r := range s.tables[all[stopped].Address].Records(start) {
			handover.Add(start, r)
		}
		s.exchange(handover, start)
	}
	for i := range 3 * maxReportRecords {
		e := Evidence{Named: true, Answers: s.answers(all[3:], streamNumber(i), start)}
		_, verdict := e.Resolve()
		assert.Equal(t, VerdictRecorded, verdict)
	}
}

func startDistribution(all []Replica) (*Distribution, *replicaSet) {
	d := &Distribution{}
	d.SetPlacement(NewPlacement(all))
	return d, newReplicaSet(all)
}

// TestReplay plays random crashes, restarts and losses of connections. Whatever they are, no process continues a stream at
// another version than the one that began it, and as long as the entry that began it lives and has had time to report,
// another entry finds the record.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := agents(rapid.IntRange(1, 24).Draw(t, "agents"))
		d, s := startDistribution(all)
		now, streams := start, 0
		began := map[Stream]Pin{}
		begin := func(t *rapid.T) {
			streams++
			pin := rapid.SampledFrom([]Pin{oldPin, newPin}).Draw(t, "pin")
			began[streamNumber(streams)] = pin
			d.Add(now, Record{Stream: streamNumber(streams), Pin: pin, Left: MaxLifetime})
		}
		anyAgent := func(t *rapid.T) netip.AddrPort { return rapid.SampledFrom(all).Draw(t, "agent").Address }
		t.Repeat(map[string]func(*rapid.T){
			"begin":   begin,
			"crash":   func(t *rapid.T) { s.crash(d, anyAgent(t)) },
			"cut off": func(t *rapid.T) { s.down[anyAgent(t)] = true },
			"return":  func(t *rapid.T) { s.down[anyAgent(t)] = false },
			"report": func(*rapid.T) {
				now = now.Add(retryDelay)
				s.exchange(d, now)
			},
			"": func(t *rapid.T) {
				for stream, pin := range began {
					e := Evidence{Named: true, Answers: s.answers(all, stream, now)}
					if got, verdict := e.Resolve(); verdict.Known() {
						assert.Equal(t, pin, got)
					}
				}
			},
		})
		for address := range s.down {
			s.down[address] = false
		}
		now = now.Add(retryDelay)
		s.exchange(d, now)
		for stream, pin := range began {
			e := Evidence{Named: true, Answers: s.answers(all, stream, now)}
			got, verdict := e.Resolve()
			assert.Equal(t, VerdictRecorded, verdict)
			assert.Equal(t, pin, got)
		}
	})
}
