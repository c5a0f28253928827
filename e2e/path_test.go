package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin/engine"
)

const (
	longText        = "one two three four five six seven eight nine ten eleven twelve thirteen fourteen fifteen sixteen"
	chatPath        = "/v1/chat/completions"
	userWord        = "<user>"
	answerWordCount = 8
)

func chatBody(text string, stream bool) string {
	data, err := json.Marshal(map[string]any{
		"model":    "m",
		"messages": []map[string]string{{"role": "user", "content": text}},
		"stream":   stream,
	})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// expectedAnswer returns the answer of the engine stand-in to a chat with one message.
func expectedAnswer(text string) string {
	return " " + strings.Join(engine.ResponseWords("v1", userWord+` "`+text+`"`, answerWordCount), " ")
}

type chatAnswer struct {
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
	Usage struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

func decodeChat(tb testing.TB, a answer) chatAnswer {
	tb.Helper()
	require.Equal(tb, http.StatusOK, a.status, a.body)
	var parsed chatAnswer
	require.NoError(tb, json.Unmarshal([]byte(a.body), &parsed), a.body)
	return parsed
}

// decodeStream joins the events of a streamed answer and requires the end marker.
func decodeStream(t *testing.T, a answer) string {
	t.Helper()
	require.Equal(t, http.StatusOK, a.status, a.body)
	require.True(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), a.body)
	var text strings.Builder
	for _, event := range strings.Split(strings.TrimSuffix(a.body, "data: [DONE]\n\n"), "\n\n") {
		if event == "" {
			continue
		}
		var parsed chatAnswer
		require.NoError(t, json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &parsed), event)
		text.WriteString(parsed.Choices[0].Delta.Content)
	}
	return text.String()
}

func oldSideRow(model string) rillreach.Row {
	return rillreach.Row{Model: rillreach.ModelID(model), Version: "v1", Weights: rillreach.Weights{Old: 100}}
}

func TestRequestPath(t *testing.T) {
	f := newFleet(t)
	f.startEngine(rillreach.SideOld)
	service, _ := f.startService(rillreach.SideOld, "catalogue")
	key := f.createAccount("kigali", oldSideRow("m"), oldSideRow("catalogue"))
	url := "http://" + f.entry().address("callers")
	chat := func(text string, stream bool) func() (answer, error) {
		return func() (answer, error) { return trySend(http.MethodPost, url+chatPath, key, chatBody(text, stream)) }
	}
	awaitStatus(t, http.StatusOK, chat("warm up", false))
	awaitStatus(t, http.StatusOK, func() (answer, error) {
		return trySend(http.MethodPost, url+"/services/catalogue/prices", key, "warm up")
	})

	t.Run("an unstreamed answer arrives byte for byte", func(t *testing.T) {
		parsed := decodeChat(t, send(t, http.MethodPost, url+chatPath, key, chatBody("does the quote stand", false)))
		assert.Equal(t, expectedAnswer("does the quote stand"), parsed.Choices[0].Message.Content)
	})
	t.Run("a streamed answer arrives byte for byte", func(t *testing.T) {
		a := send(t, http.MethodPost, url+chatPath, key, chatBody("does the vote carry", true))
		assert.Equal(t, "text/event-stream", a.header.Get("Content-Type"))
		assert.Equal(t, expectedAnswer("does the vote carry"), decodeStream(t, a))
	})
	t.Run("a repeated prompt reuses the KV cache of the first", func(t *testing.T) {
		first := decodeChat(t, send(t, http.MethodPost, url+chatPath, key, chatBody(longText, false)))
		second := decodeChat(t, send(t, http.MethodPost, url+chatPath, key, chatBody(longText, false)))
		assert.Zero(t, first.Usage.Details.Cached)
		assert.Positive(t, second.Usage.Details.Cached)
	})
	t.Run("a plain service is called", func(t *testing.T) {
		a := send(t, http.MethodPost, url+"/services/catalogue/prices", key, "cement")
		assert.Equal(t, `/prices ran "cement" time 1`, a.body)
		var runs map[string]int
		getJSON(t, "http://"+service.address("standin")+"/runs", &runs)
		assert.Equal(t, 1, runs["cement"])
	})
	t.Run("a refusal reports that nothing was run", func(t *testing.T) {
		a := send(t, http.MethodPost, url+chatPath, key, strings.Replace(chatBody("x", false), `"m"`, `"other"`, 1))
		assertRefused(t, a, http.StatusNotFound, rillreach.OutcomeNotRun, rillreach.ReasonUnknownModel)
	})
	t.Run("a wrong key is refused", func(t *testing.T) {
		a := send(t, http.MethodPost, url+chatPath, key+"x", chatBody("x", false))
		assertRefused(t, a, http.StatusUnauthorized, rillreach.OutcomeNotRun, rillreach.ReasonUnauthorized)
	})
}

func assertRefused(t *testing.T, a answer, status int, outcome rillreach.Outcome, reason rillreach.Reason) {
	t.Helper()
	assert.Equal(t, status, a.status, a.body)
	assert.Equal(t, string(outcome), a.header.Get(rillreach.HeaderOutcome))
	assert.Equal(t, string(reason), a.header.Get(rillreach.HeaderReason))
	var body struct {
		Error struct{ Message, Code, Outcome string }
	}
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	assert.Equal(t, string(outcome), body.Error.Outcome)
	assert.Equal(t, string(reason), body.Error.Code)
	assert.NotEmpty(t, body.Error.Message)
}
