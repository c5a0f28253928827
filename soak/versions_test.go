package main

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// TestStreamsStayAtTheirSoftwareVersion guards against streams that hold events of two software versions while runners
// of one replace those of the other, callers take streams up at other entries, and entries and agents are killed and
// stopped in series.
func TestStreamsStayAtTheirSoftwareVersion(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{1, 7} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			actions := engineSchedule(seed, shortLength, versionFaults)
			assertGuaranteesOf(t, binary, actions, clusterSize{Entries: 3, Runners: 4, Callers: 30, Versions: true})
		})
	}
}

// versionedStream returns the events of a stream after the given one, up to another, with a software version.
func versionedStream(id, software string, after, last int) string {
	whole := strings.ReplaceAll(expectedAfter(id, kindStream, after), "\n\n", softwareSeparator+software+"\n\n")
	end := strings.Index(whole, "id: "+site.EventID(last+1)+"\n")
	if end < 0 {
		return whole
	}
	return whole[:end]
}

func TestJudgeOfSoftwareVersions(t *testing.T) {
	streamOf := func(second string) *observations {
		return &observations{Calls: []callRecord{
			{ID: "first", Kind: kindStream, Status: statusOK, Truncated: true, Body: versionedStream("first", oldSoftware, 0, 4) + "id: 5\nda"},
			{ID: "second", Kind: kindStream, Status: statusOK, Body: second, Resumes: "first", Begun: "first", After: 4},
		}}
	}
	judged := func(r *observations) []string {
		var violations []string
		r.checkSoftwareVersions(func(format string, _ ...any) { violations = append(violations, format) })
		return violations
	}
	assert.Empty(t, judged(streamOf(versionedStream("second", oldSoftware, 4, streamEvents))))
	assert.Len(t, judged(streamOf(versionedStream("second", newSoftware, 4, streamEvents))), 1, "over the caller's tries")
	mixed := versionedStream("second", oldSoftware, 4, 8) + versionedStream("second", newSoftware, 8, streamEvents)
	assert.Len(t, judged(streamOf(mixed)), 1, "in one answer")
}

func TestJudgeOfResumedStreams(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	observed := func(wentOn, serving int) *observations {
		r := &observations{}
		for i := range minTakenUp {
			id := strconv.Itoa(i)
			r.Calls = append(r.Calls, callRecord{ID: id, Kind: kindStream, Status: statusOK, Truncated: true, Body: versionedStream(id, oldSoftware, 0, 4), SentAt: at(0), EndedAt: at(time.Second)})
			next := callRecord{ID: "next-" + id, Kind: kindStream, Status: 503, Resumes: id, Begun: id, After: 4, SentAt: at(time.Second), EndedAt: at(2 * time.Second)}
			if i < wentOn {
				next.Status, next.Body = statusOK, versionedStream(next.ID, oldSoftware, 4, streamEvents)
			}
			r.Calls = append(r.Calls, next)
		}
		for range serving {
			r.SoftwareRuns = append(r.SoftwareRuns, softwareRun{Service: plainService, Software: oldSoftware, From: at(-time.Minute)})
		}
		return r
	}
	judged := func(r *observations) int {
		violations := 0
		r.checkResumedShare(func(string, ...any) { violations++ })
		return violations
	}
	assert.Zero(t, judged(observed(minTakenUp/2, 2)))
	assert.Equal(t, 1, judged(observed(minTakenUp/2-1, 2)))
	assert.Zero(t, judged(observed(0, 1)), "a single runner of the version serves")
	leaving := func(since time.Duration) *observations {
		r := observed(0, 2)
		r.LeavingSince = map[string]time.Time{"": at(since)}
		return r
	}
	assert.Equal(t, 1, judged(leaving(time.Second)), "runners that leave still take the rest of streams")
	assert.Zero(t, judged(leaving(-time.Second)), "they must get nothing any more")
}

func TestEventsOfStreams(t *testing.T) {
	body := versionedStream("x", newSoftware, 2, 5)
	assert.Equal(t, 5, lastEventOf(body))
	assert.Equal(t, 5, lastEventOf(body+"id: 6\ndata: x"), "a part of an event does not count")
	assert.Zero(t, lastEventOf("not-run\n"))
	assert.Zero(t, lastEventOf(""))
	assert.Equal(t, []string{newSoftware}, softwareIn(body))
	assert.True(t, strings.HasPrefix(expectedAfter("x", kindStream, 2), withoutSoftware(body+"id: 6\ndata: x 6 @v")))
}
