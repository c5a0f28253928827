package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/platform"
)

var start = time.Unix(1000, 0)

func at(number uint64) rillreach.Revision { return rillreach.Revision{Era: 1, Number: number} }

func testObject(name string, revision uint64) platform.Object {
	return platform.Object{Metadata: platform.Metadata{Name: name, Revision: revision}, Era: 1, Spec: []byte(fmt.Sprint(revision))}
}

func namesOf(objects []platform.Object) []string {
	var names []string
	for _, o := range objects {
		names = append(names, o.Metadata.Name)
	}
	return names
}

// transfer brings a subscriber's copy from its position up to date, through the wire format.
func transfer(t require.TestingT, from, to *kindCopy) {
	after, _ := to.position()
	body, _, err := from.message("k", after, peer.Encode[Message])
	require.NoError(t, err)
	if body == nil {
		return
	}
	m, err := peer.Decode[Message](body)
	require.NoError(t, err)
	if m.Replace {
		to.replace(objectsOf(decodeObjects(m.Objects)), m.At, time.Time{})
		return
	}
	to.apply(decodeObjects(m.Objects), m.At, time.Time{})
}

func TestCopy(t *testing.T) {
	listed := func() *kindCopy {
		c := &kindCopy{}
		c.replace([]platform.Object{testObject("a", 1), testObject("b", 2)}, at(2), start)
		return c
	}
	t.Run("a change is passed on from the position of the reader", func(t *testing.T) {
		c := listed()
		c.apply([]platform.Change{{Object: testObject("c", 3)}}, at(3), start)
		changes, next, ok := c.since(at(2))
		require.True(t, ok)
		require.Len(t, changes, 1)
		assert.Equal(t, "c", changes[0].Object.Metadata.Name)
		assert.Equal(t, at(3), next)
	})
	t.Run("a reader from another era or before the log lists again", func(t *testing.T) {
		c := listed()
		_, _, ok := c.since(rillreach.Revision{Era: 2, Number: 2})
		assert.False(t, ok)
		_, _, ok = c.since(at(1))
		assert.False(t, ok)
	})
	t.Run("a second list of the same era is passed on as changes", func(t *testing.T) {
		c := listed()
		c.replace([]platform.Object{testObject("a", 5)}, at(6), start)
		changes, _, ok := c.since(at(2))
		require.True(t, ok)
		require.Len(t, changes, 2)
		assert.Equal(t, "a", changes[0].Object.Metadata.Name)
		assert.True(t, changes[1].Deleted)
	})
	t.Run("an older list or change does not undo a newer one", func(t *testing.T) {
		c := listed()
		c.apply([]platform.Change{{Deleted: true, Object: testObject("a", 4)}}, at(4), start)
		c.replace([]platform.Object{testObject("a", 1)}, at(3), start)
		c.apply([]platform.Change{{Object: testObject("a", 1)}}, at(3), start)
		objects, _ := c.list()
		assert.Equal(t, []string{"b"}, namesOf(objects))
	})
	t.Run("a list of a later era replaces all although its number is lower", func(t *testing.T) {
		c := listed()
		c.replace([]platform.Object{{Metadata: platform.Metadata{Name: "z", Revision: 1}, Era: 2}}, rillreach.Revision{Era: 2, Number: 1}, start)
		objects, _ := c.list()
		assert.Equal(t, []string{"z"}, namesOf(objects))
	})
	t.Run("a confirmation of an earlier era, or of changes that the copy lacks, confirms nothing", func(t *testing.T) {
		c := listed()
		c.confirm(rillreach.Revision{Number: 9}, start.Add(time.Minute))
		c.confirm(at(9), start.Add(time.Minute))
		assert.Equal(t, time.Minute, c.age(start.Add(time.Minute)))
		c.confirm(at(2), start.Add(time.Minute))
		assert.Zero(t, c.age(start.Add(time.Minute)))
	})
}

// TestSubscriberDiverges guards against a subscriber whose copy differs from the relay's after any sequence of lists,
// changes and restores, read at any time.
func TestSubscriberDiverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, subscriber := &kindCopy{}, &kindCopy{}
		era, revision := uint64(1), uint64(1)
		objects := map[string]platform.Object{}
		write := func() platform.Change {
			revision++
			name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
			o := platform.Object{Metadata: platform.Metadata{Name: name, Revision: revision}, Era: era}
			if _, ok := objects[name]; ok && rapid.Bool().Draw(t, "deleted") {
				delete(objects, name)
				return platform.Change{Deleted: true, Object: o}
			}
			objects[name] = o
			return platform.Change{Object: o}
		}
		list := func() {
			var all []platform.Object
			for _, o := range objects {
				all = append(all, o)
			}
			relay.replace(all, rillreach.Revision{Era: era, Number: revision}, start)
		}
		list()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				write()
				list()
			case 1:
				era, revision = era+1, max(1, revision/2)
				for name, o := range objects {
					o.Era, o.Metadata.Revision = era, min(o.Metadata.Revision, revision)
					objects[name] = o
				}
				list()
			case 2:
				transfer(t, relay, subscriber)
			default:
				change := write()
				relay.apply([]platform.Change{change}, rillreach.Revision{Era: era, Number: revision}, start)
			}
		}
		transfer(t, relay, subscriber)
		want, wantAt := relay.list()
		got, gotAt := subscriber.list()
		assert.Equal(t, namesOf(want), namesOf(got))
		assert.Equal(t, wantAt, gotAt)
	})
}

func FuzzDecodeMessage(f *testing.F) {
	body, err := peer.Encode(Message{Kind: "k", At: at(1), Objects: []object{{Name: "a", Revision: at(1), Spec: []byte("{}")}}})
	require.NoError(f, err)
	f.Add(body)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := peer.Decode[Message](data)
		if err != nil {
			return
		}
		c := &kindCopy{}
		c.replace(objectsOf(decodeObjects(m.Objects)), m.At, time.Time{})
		c.apply(decodeObjects(m.Objects), m.At, time.Time{})
	})
}
