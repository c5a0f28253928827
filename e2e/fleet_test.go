package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

const secret = "a secret of this test fleet"

// testFleet is a fleet of separate processes and the platform that they share.
type testFleet struct {
	t              testing.TB
	platform       string
	digestInterval string
}

func newFleet(t *testing.T) *testFleet {
	t.Helper()
	p := start(t, "standin", "platform")
	return &testFleet{t: t, platform: "http://" + p.address("standin"), digestInterval: "200ms"}
}

func (f *testFleet) nodeArgs(more ...string) []string {
	return append([]string{"--platform", f.platform, "--secret", secret, "--digest-every", f.digestInterval}, more...)
}

// entry starts an entry and returns its process.
func (f *testFleet) entry(more ...string) *process {
	args := append([]string{"entry", "--listen", "127.0.0.1:0"}, f.nodeArgs(more...)...)
	return start(f.t, args...)
}

func (f *testFleet) startAgent(more ...string) *process {
	return start(f.t, append([]string{"agent"}, f.nodeArgs(more...)...)...)
}

// startEngine starts an engine and its agent, and returns both.
func (f *testFleet) startEngine(side rillreach.Side, more ...string) (*process, *process) {
	e := start(f.t, append([]string{"standin", "engine", "--engine-version", "v1"}, more...)...)
	a := f.startAgent("--backend", "http://"+e.address("standin"), "--side", string(side), "--model", "m", "--model-version", "v1")
	return e, a
}

// startService starts a plain service and its agent, and returns both.
func (f *testFleet) startService(side rillreach.Side, name string, more ...string) (*process, *process) {
	s := start(f.t, "standin", "service")
	a := f.startAgent(append([]string{"--backend", "http://" + s.address("standin"), "--side", string(side), "--service", name}, more...)...)
	return s, a
}

// createAccount creates an API key for an account, writes the rows of the account and returns the key.
func (f *testFleet) createAccount(name string, rows ...rillreach.Row) string {
	f.t.Helper()
	key, credential, err := rillreach.NewAPIKey(rillreach.AccountID(name))
	require.NoError(f.t, err)
	for i := range rows {
		rows[i].Format = rillreach.RowFormat
		rows[i].Account = rillreach.AccountID(name)
		rows[i].Credentials = []rillreach.Credential{credential}
		if rows[i].Objective == "" {
			rows[i].Objective = rillreach.ObjectiveFirstToken
		}
	}
	f.applyRows(rows...)
	return key
}

func (f *testFleet) applyRows(rows ...rillreach.Row) {
	f.t.Helper()
	data, err := json.Marshal(rows)
	require.NoError(f.t, err)
	_, errOut, code := runCommand(f.t, string(data), "table", "apply", "--platform", f.platform, "-f", "-")
	require.Zero(f.t, code, errOut)
}

func (f *testFleet) setFaults(faults string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, f.platform+"/faults", strings.NewReader(faults))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
}

// answer is a complete answer as a caller receives it.
type answer struct {
	status int
	header http.Header
	body   string
}

// send sends one request as a caller and fails the test if no answer arrives.
func send(tb testing.TB, method, url, key, body string, headers ...string) answer {
	tb.Helper()
	a, err := trySend(method, url, key, body, headers...)
	require.NoError(tb, err)
	return a
}

func trySend(method, url, key, body string, headers ...string) (answer, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// eventually waits until the condition is true.
func eventually(tb testing.TB, condition func() bool, what string) {
	tb.Helper()
	require.Eventually(tb, condition, waitTimeout, 20*time.Millisecond, what)
}

// awaitStatus repeats a request until it is answered with the given status.
func awaitStatus(tb testing.TB, status int, request func() (answer, error)) {
	tb.Helper()
	var last string
	eventually(tb, func() bool {
		a, err := request()
		last = fmt.Sprint(a, err)
		return err == nil && a.status == status
	}, "entry does not answer with the expected status; last: "+last)
}

func getJSON(tb testing.TB, url string, into any) {
	tb.Helper()
	resp, err := http.Get(url)
	require.NoError(tb, err)
	defer resp.Body.Close()
	require.Equal(tb, http.StatusOK, resp.StatusCode)
	require.NoError(tb, json.NewDecoder(resp.Body).Decode(into))
}

// openStream sends a prompt and returns as soon as the header of the answer arrives.
func openStream(tb testing.TB, url, key, body string) *http.Response {
	tb.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(tb, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(tb, err)
	require.Equal(tb, http.StatusOK, resp.StatusCode)
	return resp
}

// openStreamAsOldCaller sends a prompt by HTTP/1.0 and returns the connection once the answer has begun.
func openStreamAsOldCaller(t *testing.T, target, key, body string) io.Reader {
	t.Helper()
	parsed, err := url.Parse(target)
	require.NoError(t, err)
	conn, err := net.Dial("tcp", parsed.Host)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", parsed.Path, parsed.Host, key, len(body), body)
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	head, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, head, "200 OK")
	return reader
}

func readAll(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(data)
}

// instanceCount returns the number of instances that the platform lists.
func (f *testFleet) instanceCount() int {
	f.t.Helper()
	var page rillreach.ObjectPage
	getJSON(f.t, f.platform+"/objects/instances", &page)
	return len(page.Objects)
}
