//go:build review2

// Package stage plays the cases of the second review. Its binary is the one that review/build-2.sh makes of its tests: it
// runs no tests, but the case that the environment names, or one stand-in of it.
package stage

import (
	"fmt"
	"os"
	"testing"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their number. Each reports whether the rule was broken.
var cases = map[string]func(s *stage) (broken bool, err error){
	"6":  playUpgrade,
	"7":  playBusy,
	"8":  playDark,
	"9":  playPublic,
	"10": playFenced,
	// Shown as well, but by earlier cases or plays already.
	"truncated":  playTruncated,
	"resume":     playResume,
	"two-models": playTwoModels,
	"drill":      playRestored,
}

func TestMain(*testing.M) {
	if os.Getenv("REVIEW_ROLE") == "runner" {
		os.Exit(runRunner())
	}
	os.Exit(play(os.Getenv("REVIEW_CASE")))
}

// play plays a case and returns its exit code.
func play(number string) int {
	run := cases[number]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", number)
		return exitNotRun
	}
	s, err := newStage()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot set up:", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := run(s)
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		return exitNotRun
	case broken:
		s.note("the rule was broken")
		return exitBroken
	default:
		s.note("the rule held")
		return exitHeld
	}
}
