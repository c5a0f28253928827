package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/objectstore"
)

func TestTableCommands(t *testing.T) {
	f := newFleet(t)
	f.createAccount("kigali", oldSideRow("m"))
	set := func(args ...string) (string, string, int) {
		return runCommand(t, "", append([]string{"table", "set", "--platform", f.platform, "kigali/m/v1"}, args...)...)
	}
	t.Run("an edit appears in the table", func(t *testing.T) {
		_, errOut, code := set("--new", "30")
		require.Zero(t, code, errOut)
		out, _, _ := runCommand(t, "", "table", "get", "--platform", f.platform, "-o", "json", "kigali")
		var rows []rillreach.Row
		require.NoError(t, json.Unmarshal([]byte(out), &rows))
		assert.Equal(t, rillreach.Weights{Old: 70, New: 30}, rows[0].Weights)
	})
	t.Run("applying the YAML output of get changes nothing", func(t *testing.T) {
		out, _, _ := runCommand(t, "", "table", "get", "--platform", f.platform, "-o", "yaml")
		applied, errOut, code := runCommand(t, out, "table", "apply", "--platform", f.platform, "-f", "-")
		require.Zero(t, code, errOut)
		assert.Contains(t, applied, "unchanged")
	})
	t.Run("an invalid row is rejected before it is written", func(t *testing.T) {
		_, errOut, code := set("--new", "130")
		assert.NotZero(t, code)
		assert.Contains(t, errOut, "a weight is negative")
		_, errOut, code = runCommand(t, `[{"format":1,"account":"a"},{"format":2}]`, "table", "validate", "-f", "-")
		assert.Equal(t, 2, code)
		assert.Contains(t, errOut, "model is empty")
		assert.Contains(t, errOut, "format 2 is not 1")
	})
	t.Run("at least one of several concurrent edits succeeds, and the others report both rows", func(t *testing.T) {
		var wg sync.WaitGroup
		codes, texts := make([]int, 8), make([]string, 8)
		for i := range codes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, texts[i], codes[i] = set("--concurrent", "5", "--new", "40")
			}()
		}
		wg.Wait()
		succeeded := 0
		for i, code := range codes {
			if code == 0 {
				succeeded++
				continue
			}
			assert.Equal(t, 3, code, texts[i])
			assert.Contains(t, texts[i], "ours:")
			assert.Contains(t, texts[i], "theirs:")
		}
		assert.Positive(t, succeeded)
	})
	t.Run("an edit whose answer is lost is recognised as written", func(t *testing.T) {
		f.setFaults(`{"loseAnswers":true}`)
		out, errOut, code := set("--new", "50")
		f.setFaults(`{}`)
		require.Zero(t, code, errOut)
		assert.Contains(t, out, "written as version")
	})
	t.Run("an edit during an outage fails", func(t *testing.T) {
		f.setFaults(`{"down":true}`)
		_, _, code := set("--new", "60")
		f.setFaults(`{}`)
		assert.NotZero(t, code)
	})
}

func TestShiftInSteps(t *testing.T) {
	f := newFleet(t)
	f.startEngine(rillreach.SideOld)
	f.startEngine(rillreach.SideNew)
	f.createAccount("kigali", oldSideRow("m"))
	entry := f.entry()
	operators := "http://" + entry.address("operators")
	eventually(t, func() bool {
		resp, err := http.Get(operators + "/status")
		if err != nil {
			return false
		}
		var status struct {
			Ready   bool
			Members int
		}
		err = json.NewDecoder(resp.Body).Decode(&status)
		_ = resp.Body.Close()
		return err == nil && status.Ready && status.Members == 3
	}, "entry is ready and knows both agents")
	out, errOut, code := runCommand(t, "", "table", "shift", "--platform", f.platform, "--operators", operators, "--step", "50", "kigali/m/v1")
	require.Zero(t, code, errOut)
	assert.Contains(t, out, "old 50, new 50, in force at 3 processes")
	assert.Contains(t, out, "old 0, new 100, in force at 3 processes")
	metrics, err := http.Get(operators + "/metrics")
	require.NoError(t, err)
	assert.Contains(t, readAll(t, metrics), "rillreach_members")
}

// TestInvalidRowIsNotApplied guards against an invalid row that takes effect because it was written to the platform
// without the command-line tool and its checks. The last valid row must stay in force.
func TestInvalidRowIsNotApplied(t *testing.T) {
	f := newFleet(t)
	f.startEngine(rillreach.SideOld)
	key := f.createAccount("kigali", oldSideRow("m"))
	entry := f.entry()
	url := "http://" + entry.address("callers") + chatPath
	request := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("x", false)) }
	awaitStatus(t, http.StatusOK, request)
	client := &objectstore.Client{BaseURL: f.platform}
	name := rillreach.RowName("kigali", "m", "v1")
	object, err := client.Get(t.Context(), rillreach.KindRow, name)
	require.NoError(t, err)
	_, err = client.Put(t.Context(), rillreach.KindRow, name, object.Version, []byte(`{"format":1,"account":"kigali","weights":{"old":5}}`))
	require.NoError(t, err)
	eventually(t, func() bool { return strings.Contains(entry.logText(), "row not applied") }, "entry rejects the row")
	a, err := request()
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, a.status, a.body)
}

func TestPeersRequireCertificate(t *testing.T) {
	f := newFleet(t)
	dir := t.TempDir()
	_, errOut, code := runCommand(t, "", "certs", "--dir", dir)
	require.Zero(t, code, errOut)
	tls := func(role string) []string {
		return []string{"--tls-cert", dir + "/" + role + ".pem", "--tls-key", dir + "/" + role + "-key.pem", "--tls-ca", dir + "/ca.pem"}
	}
	e := start(t, "standin", "engine", "--engine-version", "v1")
	args := []string{"--backend", "http://" + e.address("standin"), "--side", "old", "--model", "m", "--model-version", "v1"}
	f.startAgent(append(args, tls("agent")...)...)
	key := f.createAccount("kigali", oldSideRow("m"))
	request := func(entry *process) func() (answer, error) {
		return func() (answer, error) {
			return trySend(http.MethodPost, "http://"+entry.address("callers")+chatPath, key, chatBody("x", false))
		}
	}
	t.Run("an entry with an entry certificate is served", func(t *testing.T) {
		entry := f.entry(tls("entry")...)
		t.Cleanup(entry.stop)
		awaitStatus(t, http.StatusOK, request(entry))
	})
	for name, more := range map[string][]string{"without a certificate": nil, "with an agent's certificate": tls("agent")} {
		t.Run("an entry "+name+" is refused", func(t *testing.T) {
			entry := f.entry(more...)
			t.Cleanup(entry.stop) // otherwise its record remains and the next entry relies on it to watch the platform
			var last answer
			eventually(t, func() bool {
				a, err := request(entry)()
				last = a
				return err == nil && a.header.Get(rillreach.HeaderReason) == string(rillreach.ReasonNoBackend)
			}, "entry finds no agent")
			assert.Equal(t, string(rillreach.OutcomeNotRun), last.header.Get(rillreach.HeaderOutcome))
		})
	}
}

func TestInvalidSettingsAreListedTogether(t *testing.T) {
	t.Run("all invalid settings are listed at once", func(t *testing.T) {
		_, errOut, code := runCommand(t, "", "agent", "--platform", "nowhere", "--peer-listen", "x", "--side", "left", "--slots", "0")
		assert.Equal(t, 2, code)
		for _, setting := range []string{"--platform", "--peer-listen", "--side", "--slots", "--secret", "--backend", "--model"} {
			assert.Contains(t, errOut, setting)
		}
	})
	t.Run("an unknown environment variable is rejected", func(t *testing.T) {
		t.Setenv("RILLREACH_PLATFORMS", "http://127.0.0.1:1")
		_, errOut, code := runCommand(t, "", "table", "get")
		assert.NotZero(t, code)
		assert.Contains(t, errOut, "RILLREACH_PLATFORMS")
	})
	t.Run("an environment variable sets a flag", func(t *testing.T) {
		t.Setenv("RILLREACH_PLATFORM", "nowhere")
		_, errOut, code := runCommand(t, "", "table", "get")
		assert.Equal(t, 2, code)
		assert.Contains(t, errOut, `"nowhere"`)
	})
}

func TestDemoExits(t *testing.T) {
	out, errOut, code := runCommand(t, "", "demo", "-o", "json")
	require.Zero(t, code, errOut)
	var summary map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &summary))
	for _, key := range []string{"requests", "whole", "lost", "doubled", "ttft_p50_ms", "ttft_p95_ms", "recomputed_share"} {
		assert.Contains(t, summary, key)
	}
	assert.Zero(t, summary["lost"])
	assert.Zero(t, summary["doubled"])
}
