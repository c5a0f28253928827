package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/digest"
)

// defaultEntries is the least number of entries assumed until it is known.
const defaultEntries = 8

// entryCount returns the number of entries that share what is allowed to all of them. Until it is known, as many are
// assumed as runners are listed.
func (g *Gateway) entryCount() int {
	if n := g.entries.Entries(); n > 0 {
		return n
	}
	return max(defaultEntries, g.state.Roster.Len())
}

// observeFollowers records how many entries follow an agent.
func (g *Gateway) observeFollowers(agent rillreach.InstanceID, followers int, now time.Time) {
	before := g.entries.Entries()
	g.entries.ObserveAgent(followers, now)
	g.logEntryCount(before, "agent", string(agent))
}

// observeZones records how many entries zones have.
func (g *Gateway) observeZones(zones []digest.ZoneEntries, now time.Time) {
	before := g.entries.Entries()
	for _, z := range zones {
		g.entries.ObserveZone(z.Zone, z.Count, now)
	}
	g.logEntryCount(before, "relay", "")
}

// logEntryCount logs the number of entries if it differs from the one before.
func (g *Gateway) logEntryCount(before int, kind, source string) {
	if after := g.entries.Entries(); after != before {
		g.Log.Info("number of entries changed", "decision", "apply", "kind", kind, "source", source, "entries", after, "before", before)
	}
}
