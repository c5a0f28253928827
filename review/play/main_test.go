//go:build review

package play

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to what they play. Each returns what has broken the rule, nothing if it held.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"two-models": playTwoModels,
	"isolated":   playIsolated,
	"upgrade":    playUpgrade,
	"fatal":      playFatal,
	"fatal-part": playFatalPart,
	"restored":   playRestored,
	"taken-up":   playTakenUp,
	"headless":   playHeadless,
	"reborn":     playReborn,
	"moved":      playMoved,
	"continued":  playContinued,
	"unsealed":   playUnsealed,
	"refusal":    playFalseRefusal,
	"unreadable": playUnreadable,
}

// TestMain plays the case that the first argument names and writes its record into the folder that the second one names. With
// other arguments, as in the default test run, it plays none.
func TestMain(m *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(name, folder string) int {
	broken, err := play(name, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, what := range broken {
		fmt.Println("BROKEN:", what)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// closeOnSignal ends the processes of the world, and the play, if it is told to end.
func (w *world) closeOnSignal() (stop func()) {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			w.close()
			os.Exit(exitNotRun)
		case <-done:
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// play plays a case with its record, and returns what has broken the rule.
func play(name, folder string) (broken []string, err error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	defer file.Close()
	w, err := newWorld(file)
	if err != nil {
		return nil, err
	}
	defer w.close()
	stop := w.closeOnSignal()
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("case %s, trouble %t", name, trouble)
	broken, err = cases[name](w, trouble)
	for _, what := range broken {
		w.record("BROKEN: %s", what)
	}
	return broken, err
}
