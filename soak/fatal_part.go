package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// faultFatalPart is drawn only together with the other fatalPartFaults.
const faultFatalPart fault = "part of prompts that ends its runners"

// fatalPartFaults are the faults under which a fatal part of prompts must be quarantined.
var fatalPartFaults = []fault{faultFatalPart, faultFatalPart, faultFatalPart, faultKill, faultPause, faultAgentKill, faultAgentPause, faultCrash, faultEngineCrash}

const (
	// fatalPart is the prefix of the IDs of parts that crash the runners that begin to answer prompts with them.
	fatalPart = "fa7a1"
	// maxPartCrashes is the number of crashes under a part after which entries must know it.
	maxPartCrashes = 5
)

// fatalPartName returns the part of a request's prompt that crashes runners, and an empty string for other requests.
func fatalPartName(r *http.Request) string {
	for _, part := range site.PromptParts(r) {
		if strings.HasPrefix(part, fatalPart) {
			return part
		}
	}
	return ""
}

// fatalCause returns what makes a request crash the runners that start it: its own name or a part of its prompt. It is
// empty for other requests.
func fatalCause(r *http.Request) string {
	if name := fatalName(r); name != "" {
		return name
	}
	return fatalPartName(r)
}

// crashLimit returns the number of crashes after which entries must know of a fatal request or part.
func crashLimit(fatal string) int {
	if strings.HasPrefix(fatal, fatalPart) {
		return maxPartCrashes
	}
	return maxRequestCrashes
}

// injectFatalPart makes a caller send requests with one fatal part, no two alike, each to the entry that the balancer
// chooses.
func (c *cluster) injectFatalPart(a action) {
	c.schedule(0, func() {
		sender := c.newFatalSender()
		part := fmt.Sprintf("%s%06x", fatalPart, c.callers.nextID.Add(1))
		shared := []string{site.OpeningPart, part}
		if a.Target%2 == 0 {
			shared = []string{part, site.OpeningPart}
		}
		n := a.Target
		for until := time.Now().Add(fatalDuration); time.Now().Before(until); time.Sleep(a.Duration / fatalShare) {
			n++
			sender.record(callRecord{Kind: kinds[n%len(kinds)], Key: permanentKey, Fatal: part, Parts: shared})
		}
	})
}
