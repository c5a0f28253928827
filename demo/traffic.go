package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	maxFirstTokenMicros = int64(time.Minute / time.Microsecond)
	significantDigits   = 3
	firstMessageWords   = 600
	nextMessageWords    = 40
	maxAnswerTokens     = 12
	doneEvent           = "data: [DONE]"
)

// traffic sends prompts and counts the results.
type traffic struct {
	client *http.Client
	key    string

	mu           sync.Mutex
	firstToken   *hdrhistogram.Histogram
	requests     int
	complete     int
	lost         int
	promptTokens int
	cachedTokens int
}

func newTraffic(key string) *traffic {
	return &traffic{client: &http.Client{}, key: key, firstToken: hdrhistogram.New(1, maxFirstTokenMicros, significantDigits)}
}

// message is a message of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// conversation is a conversation of a caller; each prompt contains all earlier messages.
type conversation struct {
	number   int
	messages []message
}

func newConversation(number int) *conversation {
	c := &conversation{number: number}
	c.addUserMessage(firstMessageWords)
	return c
}

// addUserMessage adds a user message with the given number of words.
func (c *conversation) addUserMessage(words int) {
	var text strings.Builder
	for i := range words {
		_, _ = fmt.Fprintf(&text, "c%dm%dw%d ", c.number, len(c.messages), i)
	}
	c.messages = append(c.messages, message{Role: "user", Content: text.String()})
}

type promptBody struct {
	Model         string        `json:"model"`
	Stream        bool          `json:"stream"`
	MaxTokens     int           `json:"max_tokens"`
	StreamOptions streamOptions `json:"stream_options"`
	Messages      []message     `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// send sends the conversation's next prompt and adds the response to the conversation.
func (t *traffic) send(ctx context.Context, url string, c *conversation) error {
	body, err := json.Marshal(promptBody{
		Model: string(Model), Stream: true, MaxTokens: maxAnswerTokens, StreamOptions: streamOptions{IncludeUsage: true}, Messages: c.messages,
	})
	if err != nil {
		return errors.Wrap(err, "encode prompt")
	}
	start := time.Now()
	answer, first, err := t.stream(ctx, url, string(body))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if err != nil || !strings.Contains(answer, doneEvent) {
		t.lost++
		return nil
	}
	t.complete++
	_ = t.firstToken.RecordValue(first.Sub(start).Microseconds())
	t.addUsage(answer)
	c.messages = append(c.messages, message{Role: "assistant", Content: answerText(answer)})
	return nil
}

// stream sends a prompt, and returns the streamed response and the time of its first byte.
func (t *traffic) stream(ctx context.Context, url, body string) (string, time.Time, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", time.Time{}, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	resp, err := t.client.Do(req)
	if err != nil {
		return "", time.Time{}, errors.Wrap(err, "send prompt")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", time.Time{}, errors.Newf("entry answered with status %d", resp.StatusCode)
	}
	firstByte := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, firstByte); err != nil {
		return "", time.Time{}, errors.Wrap(err, "read response")
	}
	first := time.Now()
	rest, err := io.ReadAll(resp.Body)
	return string(firstByte) + string(rest), first, errors.Wrap(err, "read response")
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func parseEvents(answer string) []event {
	var list []event
	for _, line := range strings.Split(answer, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var e event
		if ok && json.Unmarshal([]byte(data), &e) == nil {
			list = append(list, e)
		}
	}
	return list
}

// addUsage adds the prompt tokens and cached tokens of the response's usage.
func (t *traffic) addUsage(answer string) {
	for _, e := range parseEvents(answer) {
		if e.Usage != nil {
			t.promptTokens += e.Usage.PromptTokens
			t.cachedTokens += e.Usage.Details.Cached
		}
	}
}

func answerText(answer string) string {
	var text strings.Builder
	for _, e := range parseEvents(answer) {
		if len(e.Choices) > 0 {
			text.WriteString(e.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// computedShare is the share of prompt tokens that were computed rather than read from a cache.
func (t *traffic) computedShare() float64 {
	if t.promptTokens == 0 {
		return 0
	}
	return 1 - float64(t.cachedTokens)/float64(t.promptTokens)
}

func (t *traffic) quantile(q float64) float64 {
	return float64(t.firstToken.ValueAtQuantile(q)) / 1000
}
